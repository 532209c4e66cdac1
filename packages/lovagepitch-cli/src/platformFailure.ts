/**
 * Failures of the platform as failures of commands.
 */
import type { ManifestApplyError } from "@lovagepitch/platform/manifestApplyError";
import type { PlatformError } from "@lovagepitch/platform/platformError";
import { CommandFailure, type ExitCode, exitCodes } from "./exitCode.js";

const exitCodesByKind: Readonly<Record<PlatformError["kind"] | ManifestApplyError["kind"], ExitCode>> = {
    conflict: exitCodes.conflict,
    superseded: exitCodes.conflict,
    unavailable: exitCodes.unreachable,
    throttled: exitCodes.unreachable,
    invalid: exitCodes.refused,
};

/**
 * Turns a failure of the platform into one of a command.
 *
 * @param error - the platform's failure
 * @returns the command's failure
 */
export function createPlatformFailure(error: PlatformError | ManifestApplyError): CommandFailure {
    return new CommandFailure(exitCodesByKind[error.kind], error.message);
}
