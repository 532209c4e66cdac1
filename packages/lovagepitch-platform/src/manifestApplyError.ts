/**
 * Errors of applying a manifest.
 */
import type { PlatformError } from "./platformError.js";

/** Kinds of failure. */
export type ManifestApplyErrorKind =
    /** The base version is not the newest one; nothing was written. */
    | "conflict"
    /** The same manifest was accepted on that base version and has been replaced by a newer one since. */
    | "superseded"
    /** The table did not respond; the manifest may have been accepted. Applying it again is safe. */
    | "unavailable"
    /** The rate limit of this process was reached; nothing was sent. */
    | "throttled"
    /** A stored row is malformed. */
    | "invalid";

/** Version and author of an accepted manifest. */
export interface AcceptedManifestVersion {
    readonly version: number;
    readonly appliedBy: string;
}

/** A failure to apply a manifest, with its remedy in the message. */
export class ManifestApplyError extends Error {
    /**
     * @param kind - kind of failure
     * @param message - what failed and how to resolve it
     * @param currentManifest - newest accepted manifest, when another manifest was accepted instead
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
     * Converts an error of the table.
     *
     * @param error - error of the table
     * @param mayBeAccepted - whether a write was sent whose response was lost
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
