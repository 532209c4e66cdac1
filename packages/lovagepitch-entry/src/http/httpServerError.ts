/**
 * Errors of the HTTP server.
 */

/** A port that could not be bound; the message names the remedy. */
export class HttpServerError extends Error {
    /**
     * @param message - failed operation and its remedy
     */
    public constructor(message: string) {
        super(message);
        this.name = "HttpServerError";
    }
}
