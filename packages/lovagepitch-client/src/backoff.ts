/**
 * Jittered exponential backoff.
 */
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { ClientOptions } from "./clientOptions.js";

/** Waiting times of one job's resubmissions. */
export class Backoff {
    private failures = 0;

    /**
     * @param options - first and longest waiting time
     * @param random - source of jitter
     */
    public constructor(
        private readonly options: Pick<ClientOptions, "firstBackoffMilliseconds" | "longestBackoffMilliseconds">,
        private readonly random: RandomSource,
    ) {}

    /**
     * Draws the next waiting time; its bound doubles each time.
     *
     * @param leastMilliseconds - time that the entry asked for; the jitter comes on top of it
     * @returns the time to wait, in milliseconds
     */
    public next(leastMilliseconds = 0): number {
        const { firstBackoffMilliseconds, longestBackoffMilliseconds } = this.options;
        const ceiling = Math.min(longestBackoffMilliseconds, firstBackoffMilliseconds * 2 ** this.failures);
        this.failures += 1;
        return leastMilliseconds + Math.ceil(ceiling * this.random.nextFraction());
    }
}
