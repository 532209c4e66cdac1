/**
 * Baselines that push each task to a queue at a worker at once.
 */
import type { RandomSource } from "@lovagepitch/utils/randomSource";

/** Choice of a worker from the lengths of all queues. */
export abstract class WorkerChoice {
    /**
     * @param name - name for the report
     */
    public constructor(public readonly name: string) {}

    /**
     * Chooses a worker.
     *
     * @param lengths - tasks at each worker, running ones included
     * @param random - source of chance
     * @returns position of the worker
     */
    public abstract choose(lengths: readonly number[], random: RandomSource): number;
}

/** Any worker. */
export class RandomWorker extends WorkerChoice {
    /** Names the baseline. */
    public constructor() {
        super("random");
    }

    /** {@inheritDoc WorkerChoice.choose} */
    public override choose(lengths: readonly number[], random: RandomSource): number {
        return random.nextInteger(lengths.length);
    }
}

/** The shorter of two random queues. */
export class TwoChoices extends WorkerChoice {
    /** Names the baseline. */
    public constructor() {
        super("two choices");
    }

    /** {@inheritDoc WorkerChoice.choose} */
    public override choose(lengths: readonly number[], random: RandomSource): number {
        const one = random.nextInteger(lengths.length);
        const other = random.nextInteger(lengths.length);
        return lengths[one]! <= lengths[other]! ? one : other;
    }
}

/** The shortest queue of all, known without delay. */
export class LeastLoaded extends WorkerChoice {
    /** Names the baseline. */
    public constructor() {
        super("least loaded");
    }

    /** {@inheritDoc WorkerChoice.choose} */
    public override choose(lengths: readonly number[], random: RandomSource): number {
        const start = random.nextInteger(lengths.length);
        let best = start;
        for (let step = 1; step < lengths.length; step += 1) {
            const position = (start + step) % lengths.length;
            if (lengths[position]! < lengths[best]!) {
                best = position;
            }
        }
        return best;
    }
}
