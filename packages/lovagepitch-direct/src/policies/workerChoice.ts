/**
 * Load pattern: several entries place tasks on the same workers, with capacity figures that are some milliseconds old.
 * Tasks are spread over the workers, and entries with the same figures do not all choose the same worker.
 */
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import { fitsInto, type Resources } from "../model/resources.js";

/** Score bonus of a worker in the entry's own availability zone, in thousandths of a free core. */
const ownZoneBonusMilliCores = 1000;

/** Largest random score bonus, in thousandths of a free core; about the size of one task. */
const maximumRandomBonusMilliCores = 2000;

/**
 * Exceeds the score of any worker. A task that can afford a slow run goes to a worker on trial first; any other task
 * goes there only if no other worker has capacity.
 */
const trialScoreOffset = 1e9;

/** A worker that may run a task. */
export interface WorkerCandidate {
    readonly agent: string;
    /** Free resources according to the entry's latest information. */
    readonly available: Resources;
    readonly isInOwnZone: boolean;
    /** True when the worker recently failed or was slow and runs one task at a time until a run succeeds. */
    readonly isOnTrial: boolean;
}

/**
 * Chooses a worker for one task.
 *
 * @param candidates - workers that may run the task, whether or not they have capacity
 * @param needs - resources that the task occupies
 * @param hasTimeForTrial - true when the job would still end on time if the task had to be rescheduled
 * @param random - source of the random score bonus
 * @returns the worker with the highest score, or undefined when none has capacity
 */
export function chooseWorker(
    candidates: Iterable<WorkerCandidate>,
    needs: Resources,
    hasTimeForTrial: boolean,
    random: RandomSource,
): WorkerCandidate | undefined {
    let best: WorkerCandidate | undefined;
    let bestScore = Number.NEGATIVE_INFINITY;
    for (const candidate of candidates) {
        if (!fitsInto(needs, candidate.available)) {
            continue;
        }
        const score = candidate.available.milliCores
            + (candidate.isOnTrial ? (hasTimeForTrial ? trialScoreOffset : -trialScoreOffset) : 0)
            + (candidate.isInOwnZone ? ownZoneBonusMilliCores : 0)
            + random.nextFraction() * maximumRandomBonusMilliCores;
        if (score > bestScore) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
}
