/**
 * Base class of a process's core. The core performs no I/O: it queues inputs, and each tick runs all its systems, which
 * are the steps of its decision logic, and returns the outputs to perform.
 */

/** Decision logic of one process, separated from its I/O. */
export abstract class Core<Input, Output> {
    /**
     * Queues an input for the next tick.
     *
     * @param input - a message, a request or a response of the platform
     */
    public abstract accept(input: Input): void;

    /**
     * Tells whether a queued input has to be processed at once. Others wait for the next tick, which an urgent input or
     * `nextWakeAtMilliseconds` brings.
     *
     * @param input - the input that was just queued
     * @returns true unless the core can tell that the input changes nothing before the next tick
     */
    public abstract isUrgent(input: Input): boolean;

    /**
     * Processes the queued inputs by running every system once, in a fixed order.
     *
     * @returns the outputs that the process has to perform, in order
     */
    public abstract tick(): readonly Output[];

    /**
     * Returns the time at which a tick is due even without an input.
     *
     * @returns milliseconds since the epoch, or undefined when no timer is pending
     */
    public abstract nextWakeAtMilliseconds(): number | undefined;
}
