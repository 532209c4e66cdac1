/**
 * Load pattern: several entries place tasks on the same workers, with capacity figures that are some milliseconds old.
 * Tasks are spread over the workers, and entries with the same figures do not all choose the same worker.
 */
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import { fitsInto } from "../model/resources.js";
import { type TaskDemand, type WorkerCandidate, WorkerSelection } from "./workerSelection.js";

/** Score bonus of a worker in the entry's own availability zone, in thousandths of a free core. */
const ownZoneBonusMilliCores = 1000;

/** Largest random score bonus, in thousandths of a free core; about the size of one task. */
const maximumRandomBonusMilliCores = 2000;

/**
 * Exceeds the score of any worker. A task that can afford a slow run goes to a worker on trial first; any other task
 * goes there only if no other worker has capacity.
 */
const trialScoreOffset = 1e9;

/** Time that a task loses on a worker on trial that proves slow, in milliseconds. */
const trialCostMilliseconds = 200;

/** Spreads tasks over the workers with the most free processor capacity. */
export class SpreadSelection extends WorkerSelection {
    /** {@inheritDoc WorkerSelection.choose} */
    public override choose(
        candidates: readonly WorkerCandidate[],
        task: TaskDemand,
        random: RandomSource,
    ): WorkerCandidate | undefined {
        return this.chooseFrom(candidates, 0, task, random);
    }

    /**
     * Chooses among the workers that have at least a given speed.
     *
     * @param candidates - workers that may run the task, whether or not they have capacity
     * @param lowestSpeed - workers below this speed are left out
     * @param task - what the task needs
     * @param random - source of randomness
     * @returns the chosen worker, or undefined when none has capacity
     */
    protected chooseFrom(
        candidates: readonly WorkerCandidate[],
        lowestSpeed: number,
        { needs, spareMilliseconds }: TaskDemand,
        random: RandomSource,
    ): WorkerCandidate | undefined {
        const hasTimeForTrial = spareMilliseconds > trialCostMilliseconds;
        let best: WorkerCandidate | undefined;
        let bestScore = Number.NEGATIVE_INFINITY;
        for (const candidate of candidates) {
            if (candidate.speed < lowestSpeed || !fitsInto(needs, candidate.available)) {
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
}
