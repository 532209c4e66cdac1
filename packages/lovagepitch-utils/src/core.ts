/**
 * A program's core: inputs go in, a tick runs its systems, outputs come out. It does no input or output of its own.
 */

/** The decisions of one program. */
export abstract class Core<Input, Output> {
    /**
     * Hands in an input for the next tick.
     *
     * @param input - a message, a request, or an answer of the platform
     */
    public abstract accept(input: Input): void;

    /**
     * Runs every system once, in a fixed order.
     *
     * @returns what the program has to do now, in order
     */
    public abstract tick(): readonly Output[];

    /**
     * Tells when a tick is due without an input.
     *
     * @returns milliseconds since the epoch, or undefined when nothing waits for time to pass
     */
    public abstract nextWakeAtMilliseconds(): number | undefined;
}
