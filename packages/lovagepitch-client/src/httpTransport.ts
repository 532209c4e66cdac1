/**
 * Interface of the HTTP transport that the client uses.
 */

/** An HTTP request to an entry. */
export interface TransportRequest {
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    /** Base address of an entry. */
    readonly entry: string;
    /** Path and query, relative to the base address. */
    readonly path: string;
    readonly headers: { readonly [name: string]: string };
    readonly body?: string;
    readonly timeoutMilliseconds: number;
}

/** Outcome of a request. */
export type TransportOutcome =
    | {
        readonly kind: "response";
        readonly status: number;
        /** Header values by lower-case name. */
        readonly headers: { readonly [name: string]: string };
        readonly body: string;
    }
    /** No connection was established, so the entry cannot have received the request. */
    | { readonly kind: "not-sent"; readonly reason: string }
    /** No complete response arrived; the entry may have received the request. */
    | { readonly kind: "no-answer"; readonly reason: string };

/** Sends requests; tests replace it by one with scripted responses. */
export abstract class HttpTransport {
    /**
     * Sends a request once, without retries.
     *
     * @param request - the request to send
     * @returns the outcome; the promise never rejects
     */
    public abstract send(request: TransportRequest): Promise<TransportOutcome>;

    /**
     * Closes all connections.
     *
     * @returns a promise that resolves when they are closed
     */
    public abstract close(): Promise<void>;
}
