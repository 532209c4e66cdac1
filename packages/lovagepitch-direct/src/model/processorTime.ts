/**
 * Source of the time for which a process has run.
 */

/** Time for which a process had work, as opposed to waiting for events. */
export abstract class ProcessorTime {
    /**
     * Reads the total.
     *
     * @returns milliseconds since the start of the process, on its monotonic clock; they never decrease
     */
    public abstract readBusyMilliseconds(): number;
}

/** Source where the time is not measured: the process never seems busy. */
export class UnmeasuredProcessorTime extends ProcessorTime {
    /** {@inheritDoc ProcessorTime.readBusyMilliseconds} */
    public override readBusyMilliseconds(): number {
        return 0;
    }
}
