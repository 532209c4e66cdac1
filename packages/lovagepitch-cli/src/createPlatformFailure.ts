/**
 * Maps errors of the platform to failures of commands.
 */
import type { ManifestApplyError } from "@lovagepitch/platform/manifestApplyError";
import type { PlatformError } from "@lovagepitch/platform/platformError";
import { CommandFailure, type ExitCode, exitCodes } from "./exitCode.js";

const exitCodesByErrorKind: Readonly<Record<PlatformError["kind"] | ManifestApplyError["kind"], ExitCode>> = {
    conflict: exitCodes.conflict,
    superseded: exitCodes.conflict,
    unavailable: exitCodes.unreachable,
    throttled: exitCodes.unreachable,
    invalid: exitCodes.refused,
};

/**
 * Creates a command's failure with the exit code that belongs to an error of the platform.
 *
 * @param error - error of a request to the platform
 * @returns the failure, with the error's message
 */
export function createPlatformFailure(error: PlatformError | ManifestApplyError): CommandFailure {
    return new CommandFailure(exitCodesByErrorKind[error.kind], error.message);
}
