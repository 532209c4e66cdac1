/**
 * Which waiting job starts next.
 */

/** Share of a job's expected work by which it starts later than its arrival. */
const expectedWorkWeight = 0.5;
/** Longest time by which any job is overtaken. */
const ageLimitMilliseconds = 2_000;

/** Order of start among jobs. */
export abstract class StartOrderPolicy {
    /**
     * Ranks a job, when it arrives and whenever one of its tasks has started.
     *
     * @param arrivedAtMilliseconds - arrival, in milliseconds since the epoch
     * @param expectedWorkMilliseconds - expected run times of all its waiting tasks together
     * @returns its priority; lower starts first
     */
    public abstract computePriority(arrivedAtMilliseconds: number, expectedWorkMilliseconds: number): number;
}

/** First come, first served. */
export class OldestFirst extends StartOrderPolicy {
    /** {@inheritDoc StartOrderPolicy.priority} */
    public override computePriority(arrivedAtMilliseconds: number): number {
        return arrivedAtMilliseconds;
    }
}

/** Small jobs overtake large ones, by a bounded time. */
export class ShortestWorkWithAgeLimit extends StartOrderPolicy {
    /** {@inheritDoc StartOrderPolicy.priority} */
    public override computePriority(arrivedAtMilliseconds: number, expectedWorkMilliseconds: number): number {
        return arrivedAtMilliseconds + Math.min(ageLimitMilliseconds, expectedWorkWeight * expectedWorkMilliseconds);
    }
}
