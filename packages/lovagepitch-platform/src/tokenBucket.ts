/**
 * Rate limit of one process.
 */
import type { Clock } from "@lovagepitch/utils/clock";

const millisecondsPerSecond = 1000;

/** A token bucket that grants tokens in order of request, at most a set time ahead. */
export class TokenBucket {
    private tokens: number;
    private refilledAtMilliseconds: number;

    /**
     * @param tokensPerSecond - average rate
     * @param capacity - tokens that may gather while none is taken
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
     * Takes a token that is there now or will be soon.
     *
     * @param maximumWaitMilliseconds - longest time that the taker would wait
     * @returns how long to wait before the token may be used, in milliseconds; undefined when no token was taken
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
        // A wall clock may be set back; that must not take tokens away.
        const elapsedMilliseconds = Math.max(0, now - this.refilledAtMilliseconds);
        this.refilledAtMilliseconds = now;
        this.tokens = Math.min(
            this.capacity,
            this.tokens + elapsedMilliseconds * this.tokensPerSecond / millisecondsPerSecond,
        );
    }
}
