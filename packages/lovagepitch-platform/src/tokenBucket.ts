/**
 * Rate limit of the requests of one process.
 */
import type { Clock } from "@lovagepitch/utils/clock";

const millisecondsPerSecond = 1000;

/** A token bucket that can grant a token ahead of time, if the requester is willing to wait for it. */
export class TokenBucket {
    private tokens: number;
    private refilledAtMilliseconds: number;

    /**
     * @param tokensPerSecond - average rate
     * @param capacity - largest number of unused tokens
     * @param clock - source of time
     */
    public constructor(
        private readonly tokensPerSecond: number,
        private readonly capacity: number,
        private readonly clock: Clock,
    ) {
        this.tokens = capacity;
        this.refilledAtMilliseconds = clock.nowMilliseconds();
    }

    /**
     * Reserves a token that is available now or will be within a time limit.
     *
     * @param maximumWaitMilliseconds - longest time that the requester waits for the token
     * @returns how long to wait before the token may be used, in milliseconds; undefined when no token was reserved
     */
    public reserve(maximumWaitMilliseconds: number): number | undefined {
        this.refill();
        const missingTokens = 1 - this.tokens;
        const waitMilliseconds = missingTokens <= 0
            ? 0
            : Math.ceil(missingTokens * millisecondsPerSecond / this.tokensPerSecond);
        if (waitMilliseconds > maximumWaitMilliseconds) {
            return undefined;
        }
        this.tokens -= 1;
        return waitMilliseconds;
    }

    private refill(): void {
        const now = this.clock.nowMilliseconds();
        // A wall clock that is set back must not reduce the number of tokens.
        const elapsedMilliseconds = Math.max(0, now - this.refilledAtMilliseconds);
        this.refilledAtMilliseconds = now;
        this.tokens = Math.min(
            this.capacity,
            this.tokens + elapsedMilliseconds * this.tokensPerSecond / millisecondsPerSecond,
        );
    }
}
