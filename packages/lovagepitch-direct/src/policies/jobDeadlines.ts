/**
 * Load pattern: jobs of short and long tasks arrive together, and each is on time relative to its own longest task.
 */
import type { DirectJob } from "../model/directJob.js";

/** Few tasks take longer than this multiple of what is expected; a job is not given up before even such a one is late. */
const longestTaskFactor = 2.5;

/** A job that ends within this multiple of its objective is late, but still of use to most callers. */
const lateResultFactor = 3;

/** Instants that decide about a job, in milliseconds on the entry's steady clock. */
export interface JobDeadlines {
    /** Last instant at which its tasks can start and the job end on time. */
    readonly latestStart: number;
    /** After it the result is of no use, and the job is given up. */
    readonly expiresAt: number;
}

/**
 * Works out a job's times.
 *
 * @param job - the job
 * @param acceptedAt - when it arrived, in milliseconds
 * @param longestTaskMilliseconds - expected run time of its longest task, in milliseconds
 * @returns its times
 */
export function computeJobDeadlines(job: DirectJob, acceptedAt: number, longestTaskMilliseconds: number): JobDeadlines {
    const slackMilliseconds = job.allowanceMilliseconds + (job.stretch - 1) * longestTaskMilliseconds;
    const longestObjectiveMilliseconds = job.allowanceMilliseconds
        + job.stretch * longestTaskMilliseconds * longestTaskFactor;
    return {
        latestStart: acceptedAt + slackMilliseconds,
        expiresAt: acceptedAt + Math.min(lateResultFactor * longestObjectiveMilliseconds, job.callerWaitMilliseconds),
    };
}
