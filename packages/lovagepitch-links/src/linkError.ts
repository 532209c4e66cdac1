/**
 * Failures of the links between processes.
 */

/** Kinds of failure. */
export type LinkErrorKind =
    /** The port could not be bound. */
    | "listen-failed"
    /** A batch cannot be encoded within the frame size. */
    | "unsendable"
    /** The connection ended before a reply arrived. */
    | "connection-closed"
    /** A received batch or frame is malformed. */
    | "malformed"
    /** The sender has too many unanswered batches. */
    | "overloaded";

/** A failure of a link, with its remedy in the message. */
export class LinkError extends Error {
    /**
     * @param kind - kind of failure
     * @param message - what failed and how to resolve it
     */
    public constructor(public readonly kind: LinkErrorKind, message: string) {
        super(message);
        this.name = "LinkError";
    }
}
