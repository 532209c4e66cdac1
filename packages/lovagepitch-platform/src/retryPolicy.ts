/**
 * Bounded attempts with jittered exponential backoff, for operations that can read back the effect of a failed write.
 */
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { Delay } from "./delay.js";

const defaultMaximumAttempts = 8;
const firstBackoffMilliseconds = 10;
const maximumBackoffMilliseconds = 1000;

/** Number of attempts of an operation and the backoff between them. */
export class RetryPolicy {
    /**
     * @param random - source of jitter
     * @param delay - waits for the backoff
     * @param maximumAttempts - attempts of one operation, including the first one
     */
    public constructor(
        private readonly random: RandomSource,
        private readonly delay: Delay,
        public readonly maximumAttempts: number = defaultMaximumAttempts,
    ) {}

    /**
     * Waits before an attempt; the first attempt is not delayed.
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
