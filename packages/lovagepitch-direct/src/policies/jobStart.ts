/**
 * Load pattern: a burst fills every worker, and capacity is freed one task at a time on many workers. A job that starts
 * as soon as its first task can be placed may not get capacity for its last task in time. The work of its first tasks
 * is then wasted, and another job could have used that capacity.
 */
import type { PriorityRank } from "./priorityRanks.js";

/**
 * Expected time until capacity for one more task is freed for a job, in milliseconds, by rank. In a burst of 1.6 times
 * the capacity with four entries, capacity for one more task is freed for a job at these intervals. All other jobs take
 * precedence over jobs of rank `later`, which get hardly any capacity until the burst ends.
 */
const expectedWaitMillisecondsPerTask: Readonly<Record<PriorityRank, number>> = { only: 3, first: 3, later: 96 };

/** Inputs to the decision whether a job may start. */
export interface JobStartConditions {
    readonly rank: PriorityRank;
    /** Tasks of the job that could run at the same time if nothing else ran. */
    readonly maximumParallelTasks: number;
    /** Tasks of the job that fit into the capacity that is free now. */
    readonly placeableTasks: number;
    /** Time left until the latest start of its tasks with which the job still ends on time, in milliseconds. */
    readonly spareMilliseconds: number;
    /** True when other jobs are waiting for capacity too. */
    readonly isContended: boolean;
}

/**
 * Tells whether a job may start with the capacity that is free now.
 *
 * @param conditions - the job's rank, its tasks that fit now and in total, and its remaining time
 * @returns false when capacity for its last task would probably be freed too late
 */
export function canStartJob(
    { rank, maximumParallelTasks, placeableTasks, spareMilliseconds, isContended }: JobStartConditions,
): boolean {
    const unplaceableTasks = Math.max(0, maximumParallelTasks - placeableTasks);
    return !isContended || spareMilliseconds >= unplaceableTasks * expectedWaitMillisecondsPerTask[rank];
}
