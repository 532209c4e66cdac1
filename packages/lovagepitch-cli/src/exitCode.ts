/**
 * Exit codes of the command line.
 */

/** Exit codes that scripts can rely on. */
export const exitCodes = {
    done: 0,
    /** A document, a job or a request was refused, a job failed, or a process is not ready. */
    refused: 1,
    /** The arguments of the command are invalid. */
    usage: 2,
    /** The platform or a process did not respond; the request may have taken effect. */
    unreachable: 3,
    /** Another operator's change was accepted first. */
    conflict: 4,
} as const;

/** One of the exit codes. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

/** Failure of a command; the message names the cause and the remedy. */
export class CommandFailure extends Error {
    /**
     * @param exitCode - exit code of the command
     * @param message - the cause and the remedy
     */
    public constructor(public readonly exitCode: ExitCode, message: string) {
        super(message);
        this.name = "CommandFailure";
    }
}
