/**
 * Load pattern: a burst fills every worker, and room comes free one task at a time at many workers. A job that begins with
 * its first free place may find room for its last task too late; what its first tasks have done is then of little use, and
 * another job could have had the room.
 */
import type { PriorityRank } from "./priorityRanks.js";

/**
 * Time in which room for one more task comes up for a job, in milliseconds, as a simulated burst of 1.6 times the capacity
 * showed with four entries. Less urgent jobs are passed over by all others, so they hardly find any until the burst ends.
 */
const expectedWaitMillisecondsPerTask: Readonly<Record<PriorityRank, number>> = { only: 3, first: 3, later: 96 };

/** What the decision depends on. */
export interface JobStartConditions {
    readonly rank: PriorityRank;
    /** Tasks of the job that could be at work at once if nothing else ran. */
    readonly maximumParallelTasks: number;
    /** Tasks of the job that find room now. */
    readonly placeableTasks: number;
    /** Time until the last instant at which its tasks can start and the job end on time, in milliseconds. */
    readonly spareMilliseconds: number;
    /** True when other jobs wait for room as well. */
    readonly isContended: boolean;
}

/**
 * Tells whether a job may begin with the room that there is.
 *
 * @param conditions - what is known
 * @returns false when its last task would probably find room too late
 */
export function canStartJob(
    { rank, maximumParallelTasks: tasks, placeableTasks: room, spareMilliseconds, isContended }: JobStartConditions,
): boolean {
    const unplaceableTasks = Math.max(0, tasks - room);
    return !isContended || spareMilliseconds >= unplaceableTasks * expectedWaitMillisecondsPerTask[rank];
}
