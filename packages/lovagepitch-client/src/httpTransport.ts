/**
 * HTTP as the client uses it.
 */

/** One request. */
export interface TransportRequest {
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    /** Base address of an entry. */
    readonly entry: string;
    /** Path and query below the base address. */
    readonly path: string;
    readonly headers: { readonly [name: string]: string };
    readonly body?: string;
    readonly timeoutMilliseconds: number;
}

/** How a request ended. */
export type TransportOutcome =
    | {
        readonly kind: "response";
        readonly status: number;
        /** Names are in lower case. */
        readonly headers: { readonly [name: string]: string };
        readonly body: string;
    }
    /** No connection was made, so the request cannot have arrived. */
    | { readonly kind: "not-sent"; readonly reason: string }
    /** The request may have arrived. */
    | { readonly kind: "no-answer"; readonly reason: string };

/** Sends requests; tests pass in one that follows a script. */
export abstract class HttpTransport {
    /**
     * Sends a request once.
     *
     * @param request - the request
     * @returns how it ended; never rejects
     */
    public abstract send(request: TransportRequest): Promise<TransportOutcome>;

    /**
     * Closes all connections.
     *
     * @returns a promise that resolves when they are closed
     */
    public abstract close(): Promise<void>;
}
