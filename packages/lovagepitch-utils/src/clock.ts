/**
 * The time, as everything in the system reads it.
 */

/** Source of time; tests pass in one they move by hand. */
export abstract class Clock {
    /**
     * Reads the wall clock.
     *
     * @returns the current instant
     */
    public abstract now(): Date;

    /**
     * Reads the wall clock as a number, for tables and messages.
     *
     * @returns milliseconds since the epoch
     */
    public nowMilliseconds(): number {
        return this.now().getTime();
    }
}

/** The machine's clock. */
export class SystemClock extends Clock {
    /** {@inheritDoc Clock.now} */
    public override now(): Date {
        return new Date();
    }

    /** {@inheritDoc Clock.nowMilliseconds} */
    public override nowMilliseconds(): number {
        return Date.now();
    }
}

/** A clock that moves only when told to. */
export class ManualClock extends Clock {
    private current: number;

    /**
     * @param startMilliseconds - first instant, in milliseconds since the epoch
     */
    public constructor(startMilliseconds: number) {
        super();
        this.current = startMilliseconds;
    }

    /** {@inheritDoc Clock.now} */
    public override now(): Date {
        return new Date(this.current);
    }

    /** {@inheritDoc Clock.nowMilliseconds} */
    public override nowMilliseconds(): number {
        return this.current;
    }

    /**
     * Moves the clock.
     *
     * @param instantMilliseconds - the new instant; never before the current one
     */
    public advanceTo(instantMilliseconds: number): void {
        this.current = Math.max(this.current, instantMilliseconds);
    }
}
