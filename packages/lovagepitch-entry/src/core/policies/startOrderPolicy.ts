/**
 * Which waiting job starts next.
 */

/** Share of a job's expected work by which it starts later than its arrival; bounds how long any job is overtaken. */
const workWeight = 0.5;

/** Order of start among jobs. */
export abstract class StartOrderPolicy {
    /**
     * Ranks a job once, when it arrives.
     *
     * @param arrivedAtMilliseconds - arrival, in milliseconds since the epoch
     * @param expectedWorkMilliseconds - expected run times of all its tasks together
     * @returns its priority; lower starts first
     */
    public abstract priority(arrivedAtMilliseconds: number, expectedWorkMilliseconds: number): number;
}

/** First come, first served. */
export class OldestFirst extends StartOrderPolicy {
    /** {@inheritDoc StartOrderPolicy.priority} */
    public override priority(arrivedAtMilliseconds: number): number {
        return arrivedAtMilliseconds;
    }
}

/** Small jobs overtake large ones, by a bounded time. */
export class ShortestWorkWithAgeLimit extends StartOrderPolicy {
    /** {@inheritDoc StartOrderPolicy.priority} */
    public override priority(arrivedAtMilliseconds: number, expectedWorkMilliseconds: number): number {
        return arrivedAtMilliseconds + workWeight * expectedWorkMilliseconds;
    }
}
