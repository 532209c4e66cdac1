/**
 * Load pattern: more work waits than finds room, of kinds with little and with much time to spare. Jobs that are begun are
 * finished first, since what they have done is lost otherwise; then the job whose latest start comes first.
 */
import type { JobTimes } from "./jobTimes.js";

/** What the order depends on. */
export interface WaitingJob {
    readonly times: JobTimes;
    /** True when a task of it runs or has run. */
    readonly isBegun: boolean;
}

/**
 * Compares two waiting jobs.
 *
 * @param left - one job
 * @param right - another job
 * @returns negative when the left one goes first
 */
export function compareWaitingJobs(left: WaitingJob, right: WaitingJob): number {
    if (left.isBegun !== right.isBegun) {
        return left.isBegun ? -1 : 1;
    }
    return left.times.latestStart - right.times.latestStart;
}
