/**
 * Load pattern: a burst fills every worker. Callers that cannot be served are told when the work ahead of them will
 * have drained, so that they neither return into the same queue nor stay away longer than needed.
 */

/** Shortest time to stay away, in seconds: the field carries whole seconds. */
const minimumRetryAfterSeconds = 1;

/** Longest time to stay away, in seconds; bursts are shorter than this. */
const maximumRetryAfterSeconds = 10;

/** Time constant of the drain rate, in milliseconds: long against one task, short against a burst. */
const rateTimeConstantMilliseconds = 2000;

/** Measures how much of something ends in one millisecond, over the last seconds. */
export class DrainRate {
    private rate = 0;
    private updatedAt: number;

    /**
     * @param now - the time, in milliseconds
     */
    public constructor(now: number) {
        this.updatedAt = now;
    }

    /**
     * Notes an amount that has ended.
     *
     * @param amount - in any unit
     * @param now - the time, in milliseconds
     */
    public record(amount: number, now: number): void {
        this.decay(now);
        this.rate += amount / rateTimeConstantMilliseconds;
    }

    /**
     * Reads the rate.
     *
     * @param now - the time, in milliseconds
     * @returns the amount that ends in one millisecond
     */
    public read(now: number): number {
        this.decay(now);
        return this.rate;
    }

    private decay(now: number): void {
        this.rate *= Math.exp(-Math.max(0, now - this.updatedAt) / rateTimeConstantMilliseconds);
        this.updatedAt = now;
    }
}

/**
 * Tells a refused caller when to return.
 *
 * @param waitingWork - core-milliseconds that wait
 * @param drainRate - core-milliseconds that end in one millisecond
 * @returns whole seconds
 */
export function computeRetryAfterSeconds(waitingWork: number, drainRate: number): number {
    const seconds = drainRate > 0 ? waitingWork / drainRate / 1000 : maximumRetryAfterSeconds / 2;
    return Math.min(maximumRetryAfterSeconds, Math.max(minimumRetryAfterSeconds, Math.ceil(seconds)));
}
