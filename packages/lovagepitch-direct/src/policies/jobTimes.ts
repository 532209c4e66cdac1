/**
 * Load pattern: jobs of short and long tasks arrive together, and each is on time relative to its own longest task.
 */
import type { DirectJob } from "../model/directJob.js";

/** Few tasks take longer than this multiple of what is expected; a job is not given up before even such a one is late. */
const longestMultiple = 2.5;

/** A job that ends within this multiple of its objective is late, but still of use to most callers. */
const lateMultiple = 3;

/** Instants that decide about a job, in milliseconds on the entry's steady clock. */
export interface JobTimes {
    /** Last instant at which its tasks can start and the job end on time. */
    readonly latestStart: number;
    /** After it the result is of no use, and the job is given up. */
    readonly giveUpAt: number;
}

/**
 * Works out a job's times.
 *
 * @param job - the job
 * @param acceptedAt - when it arrived, in milliseconds
 * @param longestTask - expected run time of its longest task, in milliseconds
 * @returns its times
 */
export function computeJobTimes(job: DirectJob, acceptedAt: number, longestTask: number): JobTimes {
    const slack = job.allowanceMilliseconds + (job.stretch - 1) * longestTask;
    const longestObjective = job.allowanceMilliseconds + job.stretch * longestTask * longestMultiple;
    return {
        latestStart: acceptedAt + slack,
        giveUpAt: acceptedAt + Math.min(lateMultiple * longestObjective, job.callerWaitMilliseconds),
    };
}
