/**
 * Load pattern: every worker is full and several entries have work waiting. An order that already waits at a worker starts
 * when a task ends there, without a race between entries that hear of it at the same time. Only tasks that come before
 * all others are sent ahead: more begun jobs than that would leave more of them late.
 */
import { type Resources, scaleResources } from "../model/resources.js";
import type { PriorityRank } from "./priorityRanks.js";

/** Orders that may wait at a worker, in tasks of the size of the one to be placed. */
const queuedTasksPerWorker = 1;

/**
 * Tells how far an order may exceed the room that a worker has.
 *
 * @param isBegun - true when a task of the job runs or has run
 * @param rank - how the job's priority compares with others
 * @param needs - what the task occupies
 * @returns what may be missing
 */
export function computeQueueAllowance(isBegun: boolean, rank: PriorityRank, needs: Resources): Resources {
    return scaleResources(needs, rank === "first" || (isBegun && rank === "later") ? queuedTasksPerWorker : 0);
}
