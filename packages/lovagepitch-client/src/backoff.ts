/**
 * Exponential backoff with full jitter.
 */
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { ClientOptions } from "./clientOptions.js";

/** Computes the delays between the attempts of one job. */
export class Backoff {
    private attempts = 0;

    /**
     * @param options - initial and maximum jitter, in milliseconds
     * @param random - random source of the jitter
     */
    public constructor(
        private readonly options: Pick<ClientOptions, "firstBackoffMilliseconds" | "longestBackoffMilliseconds">,
        private readonly random: RandomSource,
    ) {}

    /**
     * Draws the next delay: a random time whose upper bound doubles with each call, on top of a minimum.
     *
     * @param minimumMilliseconds - delay from the entry's Retry-After header, to which the jitter is added
     * @returns the delay in milliseconds
     */
    public nextDelayMilliseconds(minimumMilliseconds = 0): number {
        const { firstBackoffMilliseconds, longestBackoffMilliseconds } = this.options;
        const maximumJitterMilliseconds = Math.min(
            longestBackoffMilliseconds,
            firstBackoffMilliseconds * 2 ** this.attempts,
        );
        this.attempts += 1;
        return minimumMilliseconds + Math.ceil(maximumJitterMilliseconds * this.random.nextFraction());
    }
}
