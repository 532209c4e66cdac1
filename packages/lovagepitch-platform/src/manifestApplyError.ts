/**
 * Why a manifest was not accepted.
 */
import type { PlatformError } from "./platformError.js";

/** Kinds of failure. */
export type ManifestApplyErrorKind =
    /** The base version is not the newest one; nothing was written. */
    | "conflict"
    /** The same manifest was accepted on that base, and a newer one has replaced it since. */
    | "superseded"
    /** The table gave no answer; the manifest may have been accepted. Applying it again is safe. */
    | "unavailable"
    /** This process's own rate limit; nothing was sent. */
    | "throttled"
    /** A stored row is malformed. */
    | "invalid";

/** The manifest that is in force instead. */
export interface AcceptedManifestVersion {
    readonly version: number;
    readonly appliedBy: string;
}

/** A failure to apply a manifest, with its remedy in the message. */
export class ManifestApplyError extends Error {
    /**
     * @param kind - kind of failure
     * @param message - what failed and what to do
     * @param currentManifest - the newest accepted manifest, when the failure is a lost race
     */
    public constructor(
        public readonly kind: ManifestApplyErrorKind,
        message: string,
        public readonly currentManifest?: AcceptedManifestVersion,
    ) {
        super(message);
        this.name = "ManifestApplyError";
    }

    /**
     * Wraps a failure of the table.
     *
     * @param error - the failure
     * @param mayBeAccepted - whether a write was sent whose answer is missing
     * @returns the error to report
     */
    public static fromPlatform(error: PlatformError, mayBeAccepted: boolean): ManifestApplyError {
        if (mayBeAccepted || error.kind === "unavailable" || error.kind === "conflict") {
            const message = `${error.message}; the manifest may have been accepted, and applying it again is safe`;
            return new ManifestApplyError("unavailable", message);
        }
        return new ManifestApplyError(error.kind, error.message);
    }
}
