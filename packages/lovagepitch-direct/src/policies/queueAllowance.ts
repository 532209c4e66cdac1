/**
 * Load pattern: every worker is full and several entries have waiting tasks. An order that is already queued at the
 * agent starts when a task ends there, without a race between entries that learn of the freed capacity at the same
 * time. Only tasks that precede all others are queued at agents: starting more jobs at once would make more of them
 * late.
 */
import { type Resources, scaleResources } from "../model/resources.js";
import type { PriorityRank } from "./priorityRanks.js";

/** Orders that may be queued at an agent, counted in tasks of the size of the one to be placed. */
const queuedTasksPerWorker = 1;

/**
 * Computes by how much an order may exceed the free resources of a worker.
 *
 * @param isBegun - true when a task of the job is running or has run
 * @param rank - the job's priority compared with recent jobs
 * @param needs - resources that the task occupies
 * @returns the resources that may be lacking when the order is sent
 */
export function computeQueueAllowance(isBegun: boolean, rank: PriorityRank, needs: Resources): Resources {
    return scaleResources(needs, rank === "first" || (isBegun && rank === "later") ? queuedTasksPerWorker : 0);
}
