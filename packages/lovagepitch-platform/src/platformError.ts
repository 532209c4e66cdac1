/**
 * Errors of the platform's table and object store.
 */

/** Kinds of failure. */
export type PlatformErrorKind =
    /** No response, or one that reports a failure of the service; a write may have taken effect. */
    | "unavailable"
    /** A condition did not hold; nothing was written. */
    | "conflict"
    /** The rate or retry limit of this process was reached; nothing was sent. */
    | "throttled"
    /** The request or the stored row is malformed. */
    | "invalid";

/** A failure of the platform, with its remedy in the message. */
export class PlatformError extends Error {
    /**
     * @param kind - kind of failure
     * @param message - what failed and how to resolve it
     * @param conflictingKeys - keys of the rows whose conditions did not hold; empty when the service did not name them
     */
    public constructor(
        public readonly kind: PlatformErrorKind,
        message: string,
        public readonly conflictingKeys: readonly string[] = [],
    ) {
        super(message);
        this.name = "PlatformError";
    }
}
