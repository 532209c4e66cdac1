/**
 * Callers' requests that wait for a response of the core.
 */
import type { EntryInput, RequestId } from "../core/entryInput.js";
import type { EntryResponse } from "../core/entryOutput.js";

/** Receives the core's response to one request. */
export type ResponseListener = (response: EntryResponse) => void;

/** Numbers callers' requests and matches the core's responses to them. */
export class PendingRequests {
    private readonly listeners = new Map<RequestId, ResponseListener>();
    private lastRequest = 0;

    /**
     * @param accept - passes an input to the core
     * @param maximumRequests - maximum number of requests that wait at the same time
     */
    public constructor(
        private readonly accept: (input: EntryInput) => void,
        private readonly maximumRequests: number,
    ) {}

    /** Number of requests that wait for a response. */
    public get size(): number {
        return this.listeners.size;
    }

    /**
     * Passes a request to the core.
     *
     * @param createInput - creates the input from the id of the request
     * @param listener - called once with the response
     * @returns id of the request, or undefined when too many requests wait
     */
    public open(
        createInput: (request: RequestId) => EntryInput,
        listener: ResponseListener,
    ): RequestId | undefined {
        if (this.listeners.size >= this.maximumRequests) {
            return undefined;
        }
        this.lastRequest += 1;
        const request = this.lastRequest;
        // The listener can be added afterwards, because the core responds in a later tick.
        this.accept(createInput(request));
        this.listeners.set(request, listener);
        return request;
    }

    /**
     * Delivers the core's response.
     *
     * @param request - id of the request; ignored when its caller has closed the connection
     * @param response - response of the core
     */
    public resolve(request: RequestId, response: EntryResponse): void {
        const listener = this.listeners.get(request);
        this.listeners.delete(request);
        listener?.(response);
    }

    /**
     * Tells the core that a caller has closed its connection, unless its request was answered.
     *
     * @param request - id of the request
     */
    public abandon(request: RequestId): void {
        if (this.listeners.delete(request)) {
            this.accept({ type: "requestClosed", request });
        }
    }
}
