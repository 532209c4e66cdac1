/**
 * The clock that the cores of a deployment read.
 */
import { Clock } from "@lovagepitch/utils/clock";

/** Cuts a clock's instants to whole milliseconds, as the machine's clock does. */
export class WholeMillisecondClock extends Clock {
    /**
     * @param clock - the clock of the deployment, whose instants may lie between two milliseconds
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
