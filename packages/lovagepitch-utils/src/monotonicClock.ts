/**
 * A clock that is not affected by adjustments of the wall clock.
 */
import { performance } from "node:perf_hooks";
import { Clock } from "./clock.js";

/** Monotonic clock of the operating system, based on the wall-clock time at the start of the process. */
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
