/**
 * Processing of a core's inputs one by one, so that a defect in handling one of them does not end the process.
 */

/** Logs an event, as the states of entries and agents do. */
type WriteLog = (level: "warn", event: string, fields: Readonly<Record<string, unknown>>) => void;

/**
 * Passes each input to a core. An input whose processing throws is logged and dropped; the others are processed.
 *
 * @param inputs - queued inputs
 * @param receive - processes one input
 * @param log - log of the core
 */
export function receiveInputs<Input extends { readonly kind: string }>(
    inputs: readonly Input[],
    receive: (input: Input) => void,
    log: WriteLog,
): void {
    for (const input of inputs) {
        try {
            receive(input);
        }
        catch (error) {
            log("warn", "input dropped because of an error; report it with this line", {
                input: input.kind,
                error: error instanceof Error ? error.stack ?? error.message : String(error),
            });
        }
    }
}
