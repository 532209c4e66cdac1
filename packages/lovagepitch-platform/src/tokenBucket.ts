/**
 * Rate limit of one process.
 */
import type { Clock } from "@lovagepitch/utils/clock";

const millisecondsPerSecond = 1000;

/** A token bucket that grants tokens in order of request, at most a set time ahead. */
export class TokenBucket {
    private tokens: number;
    private filledAtMilliseconds: number;

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
        this.filledAtMilliseconds = clock.nowMilliseconds();
    }

    /**
     * Takes a token that is there now or will be soon.
     *
     * @param maximumWaitMilliseconds - longest time that the taker would wait
     * @returns how long to wait before the token may be used, in milliseconds; undefined when no token was taken
     */
    public reserve(maximumWaitMilliseconds: number): number | undefined {
        this.fill();
        const missing = 1 - this.tokens;
        const wait = missing <= 0 ? 0 : Math.ceil(missing * millisecondsPerSecond / this.tokensPerSecond);
        if (wait > maximumWaitMilliseconds) {
            return undefined;
        }
        this.tokens -= 1;
        return wait;
    }

    private fill(): void {
        const now = this.clock.nowMilliseconds();
        // A wall clock may be set back; that must not take tokens away.
        const elapsed = Math.max(0, now - this.filledAtMilliseconds);
        this.filledAtMilliseconds = now;
        this.tokens = Math.min(this.capacity, this.tokens + elapsed * this.tokensPerSecond / millisecondsPerSecond);
    }
}
