/**
 * Load pattern: more work waits than there is capacity for, and jobs have different amounts of time left. Jobs that
 * have started go first, because their completed work would otherwise be lost; then jobs of queues that get less than
 * their share; then jobs of the more urgent priority; then jobs with the earlier latest start. Entries and agents use the same order.
 */

/** Properties of a waiting job or task that determine its position. */
export interface WaitingWork {
    /** True when a task of the job is running or has run. */
    readonly isBegun: boolean;
    /** True when its queue gets less than its share; false by default. */
    readonly isShort?: boolean;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Latest start with which the job still ends on time, in milliseconds. */
    readonly latestStart: number;
}

/**
 * Compares two waiting jobs or tasks, as a sort function.
 *
 * @param left - first job or task
 * @param right - second job or task
 * @returns a negative number when `left` goes first
 */
export function compareWaitingWork(left: WaitingWork, right: WaitingWork): number {
    if (left.isBegun !== right.isBegun) {
        return left.isBegun ? -1 : 1;
    }
    if ((left.isShort ?? false) !== (right.isShort ?? false)) {
        return left.isShort === true ? -1 : 1;
    }
    return left.priority - right.priority || left.latestStart - right.latestStart;
}
