/**
 * Load pattern: jobs of short and long tasks arrive together, and each is on time relative to its own longest task.
 */
import type { DirectJob } from "../model/directJob.js";

/**
 * Few tasks exceed this multiple of the expected run time where no more is known. A job does not expire before such a
 * task would be late.
 */
const longestTaskFactor = 2.5;

/** A result that arrives within this multiple of the job's objective is late but still useful to most callers. */
const lateResultFactor = 3;

/** The longest of the recent tasks of its kind would be late for a job by this multiple of its objective. */
const longestKnownFactor = 2;

/** Deadlines of a job, in milliseconds on the entry's monotonic clock. */
export interface JobDeadlines {
    /** Expected run time of its longest task at speed 1, in milliseconds. */
    readonly longestTaskMilliseconds: number;
    /** Latest start of its tasks at speed 1 with which the job still ends on time. */
    readonly latestStart: number;
    /** The result is useless after this instant, so the entry ends the job. */
    readonly expiresAt: number;
}

/**
 * Computes the deadlines of a job from its stretch, its allowance and the time that its caller waits.
 *
 * @param job - the accepted job
 * @param acceptedAt - arrival of the job on the entry's monotonic clock, in milliseconds
 * @param longestTaskMilliseconds - expected run time of its longest task, in milliseconds
 * @param longestKnownMilliseconds - run time that hardly any task of its kind exceeds, in milliseconds
 * @returns the latest start and the expiry
 */
export function computeJobDeadlines(
    job: DirectJob,
    acceptedAt: number,
    longestTaskMilliseconds: number,
    longestKnownMilliseconds = longestTaskMilliseconds,
): JobDeadlines {
    const slackMilliseconds = job.allowanceMilliseconds + (job.stretch - 1) * longestTaskMilliseconds;
    const longestObjectiveMilliseconds = job.allowanceMilliseconds
        + job.stretch * longestTaskMilliseconds * longestTaskFactor;
    const usefulMilliseconds = Math.max(
        lateResultFactor * longestObjectiveMilliseconds,
        longestKnownFactor * (job.allowanceMilliseconds + job.stretch * longestKnownMilliseconds),
    );
    return {
        longestTaskMilliseconds,
        latestStart: acceptedAt + slackMilliseconds,
        expiresAt: acceptedAt + Math.min(usefulMilliseconds, job.callerWaitMilliseconds),
    };
}
