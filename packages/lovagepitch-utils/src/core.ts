/**
 * Core of a program, without input and output of its own: it queues inputs, and each tick runs all its systems and
 * returns the outputs to perform.
 */

/** Decision logic of one program, separated from its input and output. */
export abstract class Core<Input, Output> {
    /**
     * Queues an input for the next tick.
     *
     * @param input - a message, a request or a response of the platform
     */
    public abstract accept(input: Input): void;

    /**
     * Runs every system once, in a fixed order.
     *
     * @returns the outputs that the program has to perform, in order
     */
    public abstract tick(): readonly Output[];

    /**
     * Returns the time at which a tick is due even without an input.
     *
     * @returns milliseconds since the epoch, or undefined when no timer is pending
     */
    public abstract nextWakeAtMilliseconds(): number | undefined;
}
