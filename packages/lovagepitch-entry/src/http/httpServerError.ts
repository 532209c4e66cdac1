/**
 * Failures of the HTTP server.
 */

/** A port that could not be bound; the message names the remedy. */
export class HttpServerError extends Error {
    /**
     * @param message - what failed and what to do
     */
    public constructor(message: string) {
        super(message);
        this.name = "HttpServerError";
    }
}
