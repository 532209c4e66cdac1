/**
 * Load pattern: several entries place tasks on the same workers with views that are some milliseconds old. Room is
 * spread over workers, and entries that see the same figures do not all choose the same worker.
 */
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import { fitsInto, type Resources } from "../model/resources.js";

/** Free cores, in thousandths, that a worker in the entry's own zone may be behind and still be chosen. */
const ownZoneBonusMilliCores = 1000;

/** Free cores, in thousandths, by which the choice varies at random, about the size of one task. */
const maximumRandomBonusMilliCores = 2000;

/**
 * Above the rank of any worker: a task with time to spare tries a worker on trial first, another one goes there only when
 * nothing else has room.
 */
const trialScoreOffset = 1e9;

/** A worker that could take a task. */
export interface WorkerCandidate {
    readonly agent: string;
    /** What is free as far as the entry knows. */
    readonly available: Resources;
    readonly isInOwnZone: boolean;
    /** True when the worker failed or was slow lately, and one task would show whether it still is. */
    readonly isOnTrial: boolean;
}

/**
 * Chooses a worker for one task.
 *
 * @param candidates - permitted workers
 * @param needs - what the task occupies
 * @param hasTimeForTrial - true when the task can be moved again and its job still be on time
 * @param random - breaks ties between entries
 * @returns the worker, or undefined when none has room
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
