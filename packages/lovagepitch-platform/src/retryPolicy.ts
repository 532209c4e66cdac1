/**
 * Bounded attempts with jittered backoff, for operations that read back what a failed write has done.
 */
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { Delay } from "./delay.js";

const defaultMaximumAttempts = 8;
const firstBackoffMilliseconds = 10;
const maximumBackoffMilliseconds = 1000;

/** How often, and how far apart, an operation is attempted. */
export class RetryPolicy {
    /**
     * @param random - source of jitter
     * @param delay - lets the backoff pass
     * @param maximumAttempts - attempts of one operation, the first one included
     */
    public constructor(
        private readonly random: RandomSource,
        private readonly delay: Delay,
        public readonly maximumAttempts: number = defaultMaximumAttempts,
    ) {}

    /**
     * Waits before an attempt; the first one is made at once.
     *
     * @param attempt - number of the attempt, from 0
     * @returns a promise that resolves when the attempt may be made
     */
    public async waitBefore(attempt: number): Promise<void> {
        if (attempt === 0) {
            return;
        }
        const maximumDelayMilliseconds = Math.min(maximumBackoffMilliseconds, firstBackoffMilliseconds * 2 ** attempt);
        await this.delay.wait(Math.ceil(maximumDelayMilliseconds * this.random.nextFraction()));
    }
}
