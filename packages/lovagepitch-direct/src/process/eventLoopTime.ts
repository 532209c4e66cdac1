/**
 * Time for which the event loop was not waiting for events.
 */
import { ProcessorTime } from "../model/processorTime.js";

/**
 * Counts all time outside of waiting, also that in which the process had work and got no processor. Processor time alone would not show
 * that a small instance is saturated.
 */
export class EventLoopTime extends ProcessorTime {
    /** {@inheritDoc ProcessorTime.readBusyMilliseconds} */
    public override readBusyMilliseconds(): number {
        return performance.eventLoopUtilization().active;
    }
}
