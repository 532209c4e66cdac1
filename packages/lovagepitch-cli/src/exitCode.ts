/**
 * Exit codes of the command line.
 */

/** What a command's end means to scripts. */
export const exitCodes = {
    done: 0,
    /** A document, a job or a request was refused, a job failed, or a process is not ready. */
    refused: 1,
    /** The command line itself is wrong. */
    usage: 2,
    /** The platform or a process gave no answer; what was asked may have taken effect. */
    unreachable: 3,
    /** Another operator's change came first. */
    conflict: 4,
} as const;

/** One of the exit codes. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

/** A command's failure; its message names the remedy. */
export class CommandFailure extends Error {
    /**
     * @param exitCode - exit code of the command
     * @param message - what failed and what to do
     */
    public constructor(public readonly exitCode: ExitCode, message: string) {
        super(message);
        this.name = "CommandFailure";
    }
}
