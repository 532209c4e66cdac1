/**
 * Determines the order in which waiting jobs start.
 */

/** Fraction of a job's expected work that is added to its arrival time. */
const expectedWorkWeight = 0.5;
/** Upper bound of the added time, so that no job is overtaken by jobs that arrive more than this much later. */
const ageLimitMilliseconds = 2_000;

/** Ranks waiting jobs. */
export abstract class StartOrderPolicy {
    /**
     * Computes the priority of a job when it arrives and whenever one of its tasks has started.
     *
     * @param arrivedAtMilliseconds - arrival, in milliseconds since the epoch
     * @param expectedWorkMilliseconds - sum of the expected run times of its waiting tasks
     * @returns its priority; lower values start first
     */
    public abstract computePriority(arrivedAtMilliseconds: number, expectedWorkMilliseconds: number): number;
}

/** First come, first served. */
export class OldestFirst extends StartOrderPolicy {
    /** {@inheritDoc StartOrderPolicy.computePriority} */
    public override computePriority(arrivedAtMilliseconds: number): number {
        return arrivedAtMilliseconds;
    }
}

/** Starts small jobs before large ones that arrived earlier, within a bounded time. */
export class ShortestWorkWithAgeLimit extends StartOrderPolicy {
    /** {@inheritDoc StartOrderPolicy.computePriority} */
    public override computePriority(arrivedAtMilliseconds: number, expectedWorkMilliseconds: number): number {
        return arrivedAtMilliseconds + Math.min(ageLimitMilliseconds, expectedWorkWeight * expectedWorkMilliseconds);
    }
}
