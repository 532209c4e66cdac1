/**
 * Load pattern: more work waits than finds room, of kinds with little and with much time to spare. Jobs that are begun are
 * finished first, since what they have done is lost otherwise; then the more urgent priority; then the job whose latest
 * start comes first. Entries and agents use the same order.
 */

/** What the order depends on. */
export interface WaitingWork {
    /** True when a task of the job runs or has run. */
    readonly isBegun: boolean;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Last instant at which it can start and the job end on time, in milliseconds. */
    readonly latestStart: number;
}

/**
 * Compares what waits.
 *
 * @param left - a job or a task
 * @param right - another one
 * @returns negative when the left one goes first
 */
export function compareWaitingWork(left: WaitingWork, right: WaitingWork): number {
    if (left.isBegun !== right.isBegun) {
        return left.isBegun ? -1 : 1;
    }
    return left.priority - right.priority || left.latestStart - right.latestStart;
}
