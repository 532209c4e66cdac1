/**
 * Load pattern: a process is frozen, slowed or starved, and reads requests late. A request does not say when it was sent; all that
 * is known is since when the process had not read its connections.
 */

/** A tick that is later than this has been delayed by more than the timers' precision, in milliseconds. */
const timerAllowanceMilliseconds = 25;

/**
 * Number of ticks after a delay in which requests are read that were waiting: the first one accepts their connections, the next ones
 * read what has arrived on them.
 */
const readingTicks = 3;

/** Least time after a delay for which requests may have been waiting, in milliseconds. */
const readingMilliseconds = 60;

/** A time in which the process did not read. */
interface Delay {
    readonly since: number;
    readonly until: number;
    readonly tick: number;
}

/** Finds how long a request may have waited until this process has read it. */
export class ReadDelay {
    private delays: readonly Delay[] = [];
    private ticks = 0;
    private lastTickAt: number | undefined;

    /**
     * Records a tick, before its requests are processed.
     *
     * @param now - current monotonic time, in milliseconds
     * @param dueAt - latest instant at which the tick was due; undefined when it is not known
     */
    public recordTick(now: number, dueAt: number | undefined): void {
        this.ticks += 1;
        this.delays = this.delays.filter(({ tick, until }) => {
            return this.ticks - tick < readingTicks || now - until < readingMilliseconds;
        });
        if (this.lastTickAt !== undefined && dueAt !== undefined && now - dueAt > timerAllowanceMilliseconds) {
            this.delays = [...this.delays, { since: this.lastTickAt, until: now, tick: this.ticks }];
        }
        this.lastTickAt = now;
    }

    /**
     * Finds the earliest instant at which a request that is read now may have arrived.
     *
     * @param now - current monotonic time, in milliseconds
     * @param dueAt - latest instant at which the next tick is due; undefined within a tick
     * @returns monotonic milliseconds; `now` while the process reads without delay
     */
    public findEarliestArrival(now: number, dueAt?: number): number {
        const isLate = dueAt !== undefined && now - dueAt > timerAllowanceMilliseconds;
        const latest = isLate ? Math.min(now, this.lastTickAt ?? now) : now;
        return this.delays.reduce((earliest, { since }) => Math.min(earliest, since), latest);
    }
}
