/**
 * Clock that the cores of a simulated deployment read.
 */
import { Clock } from "@lovagepitch/utils/clock";

/** Rounds the time of another clock down to whole milliseconds, the resolution of the system clock. */
export class WholeMillisecondClock extends Clock {
    /**
     * @param clock - clock of the deployment, which may have fractions of a millisecond
     */
    public constructor(private readonly clock: Clock) {
        super();
    }

    /** {@inheritDoc Clock.now} */
    public override now(): Date {
        return new Date(this.nowMilliseconds());
    }

    /** {@inheritDoc Clock.nowMilliseconds} */
    public override nowMilliseconds(): number {
        return Math.floor(this.clock.nowMilliseconds());
    }
}
