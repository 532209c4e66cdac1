/**
 * Baseline policies that assign each task to the queue of a worker when its job arrives.
 */
import type { RandomSource } from "@lovagepitch/utils/randomSource";

/** Policy that selects a worker from the lengths of all queues. */
export abstract class WorkerChoice {
    /**
     * @param name - name of the policy in the report
     */
    public constructor(public readonly name: string) {}

    /**
     * Selects the worker for a task.
     *
     * @param queueLengths - number of tasks at each worker, including running ones
     * @param random - random source of the choice
     * @returns index of the worker
     */
    public abstract choose(queueLengths: readonly number[], random: RandomSource): number;
}

/** Selects a worker uniformly at random. */
export class RandomWorker extends WorkerChoice {
    /** Sets the name of the policy. */
    public constructor() {
        super("random");
    }

    /** {@inheritDoc WorkerChoice.choose} */
    public override choose(queueLengths: readonly number[], random: RandomSource): number {
        return random.nextInteger(queueLengths.length);
    }
}

/** Selects the worker with the shorter queue of two random ones. */
export class PowerOfTwoChoices extends WorkerChoice {
    /** Sets the name of the policy. */
    public constructor() {
        super("two choices");
    }

    /** {@inheritDoc WorkerChoice.choose} */
    public override choose(queueLengths: readonly number[], random: RandomSource): number {
        const first = random.nextInteger(queueLengths.length);
        const second = random.nextInteger(queueLengths.length);
        return queueLengths[first]! <= queueLengths[second]! ? first : second;
    }
}

/** Selects the worker with the shortest queue; the lengths are known without delay. */
export class LeastLoaded extends WorkerChoice {
    /** Sets the name of the policy. */
    public constructor() {
        super("least loaded");
    }

    /** {@inheritDoc WorkerChoice.choose} */
    public override choose(queueLengths: readonly number[], random: RandomSource): number {
        const start = random.nextInteger(queueLengths.length);
        let shortest = start;
        for (let step = 1; step < queueLengths.length; step += 1) {
            const position = (start + step) % queueLengths.length;
            if (queueLengths[position]! < queueLengths[shortest]!) {
                shortest = position;
            }
        }
        return shortest;
    }
}
