/**
 * Load pattern: a burst fills every worker. A refused caller is told when the waiting work will have drained, so that
 * it neither retries into the same queue nor waits longer than necessary.
 */

/** Shortest retry delay, in seconds; the response header carries whole seconds. */
const minimumRetryAfterSeconds = 1;

/** Largest part by which a delay is lengthened, so that callers refused together do not return together. */
const spreadPart = 0.5;

/** Longest retry delay, in seconds; bursts are shorter than this. */
export const maximumRetryAfterSeconds = 10;

/**
 * Time constant of the exponential average, in milliseconds; long compared with one task, short compared with a burst.
 */
const rateTimeConstantMilliseconds = 2000;

/** Exponential average of the amount of work that ends per millisecond. */
export class DrainRate {
    private rate = 0;
    private updatedAt: number;

    /**
     * @param now - current monotonic time, in milliseconds
     */
    public constructor(now: number) {
        this.updatedAt = now;
    }

    /**
     * Records an amount of work that has ended.
     *
     * @param amount - work in the unit of the caller's choice
     * @param now - current monotonic time, in milliseconds
     */
    public record(amount: number, now: number): void {
        this.decay(now);
        this.rate += amount / rateTimeConstantMilliseconds;
    }

    /**
     * Reads the current rate.
     *
     * @param now - current monotonic time, in milliseconds
     * @returns the work that ends per millisecond, in the unit that was recorded
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
 * Computes the retry delay for a refused caller from the waiting work and the drain rate.
 *
 * @param waitingWork - work of all waiting tasks, in core-milliseconds
 * @param drainRate - core-milliseconds that end per millisecond
 * @param fraction - random number from 0 to 1 that spreads the returns of callers
 * @returns the delay, in whole seconds
 */
export function computeRetryAfterSeconds(waitingWork: number, drainRate: number, fraction = 0): number {
    const drainSeconds = drainRate > 0 ? waitingWork / drainRate / 1000 : maximumRetryAfterSeconds / 2;
    const seconds = Math.max(minimumRetryAfterSeconds, drainSeconds) * (1 + spreadPart * fraction);
    return Math.min(maximumRetryAfterSeconds, Math.ceil(seconds));
}
