/**
 * A clock that steps of the time of day do not move.
 */
import { performance } from "node:perf_hooks";
import { Clock } from "./clock.js";

/** The machine's steady clock, counted from the instant at which the process read the time of day at its start. */
export class MonotonicClock extends Clock {
    /** {@inheritDoc Clock.now} */
    public override now(): Date {
        return new Date(this.nowMilliseconds());
    }

    /** {@inheritDoc Clock.nowMilliseconds} */
    public override nowMilliseconds(): number {
        return performance.timeOrigin + performance.now();
    }
}
