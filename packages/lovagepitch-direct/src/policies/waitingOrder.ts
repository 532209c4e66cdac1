/**
 * Load pattern: more work waits than finds room, of kinds with little and with much time to spare. The job whose
 * latest start comes first goes first; one that can no longer be on time goes behind all that can.
 */
import type { JobTimes } from "./jobTimes.js";

/** What the order depends on. */
export interface WaitingJob {
    readonly times: JobTimes;
}

/**
 * Compares two waiting jobs.
 *
 * @param left - one job
 * @param right - another job
 * @param now - the time, in milliseconds
 * @returns negative when the left one goes first
 */
export function compareWaitingJobs(left: WaitingJob, right: WaitingJob, now: number): number {
    const leftIsLate = now > left.times.latestStart;
    const rightIsLate = now > right.times.latestStart;
    if (leftIsLate !== rightIsLate) {
        return leftIsLate ? 1 : -1;
    }
    return left.times.latestStart - right.times.latestStart;
}
