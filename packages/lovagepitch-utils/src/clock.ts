/**
 * Clocks from which all components read the time.
 */

/** Source of time; tests inject a clock that they control. */
export abstract class Clock {
    /**
     * Reads the current time.
     *
     * @returns the current time
     */
    public abstract now(): Date;

    /**
     * Reads the current time as a number, for tables and messages.
     *
     * @returns milliseconds since the epoch
     */
    public nowMilliseconds(): number {
        return this.now().getTime();
    }
}

/** Wall clock of the operating system. */
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

/** Clock for tests that only advances on request. */
export class ManualClock extends Clock {
    private current: number;

    /**
     * @param startMilliseconds - initial time, in milliseconds since the epoch
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
     * Advances the clock.
     *
     * @param instantMilliseconds - new time, in milliseconds since the epoch; an earlier time than the current one has
     * no effect
     */
    public advanceTo(instantMilliseconds: number): void {
        this.current = Math.max(this.current, instantMilliseconds);
    }
}
