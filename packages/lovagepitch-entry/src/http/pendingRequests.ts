/**
 * Callers' requests that wait for the core's response.
 */
import type { EntryInput, RequestId } from "../core/entryInput.js";
import type { EntryResponse } from "../core/entryOutput.js";

/** Takes the core's response to one request. */
export type ResponseListener = (response: EntryResponse) => void;

/** Numbers callers' requests and matches the core's responses to them. */
export class PendingRequests {
    private readonly listeners = new Map<RequestId, ResponseListener>();
    private lastRequest = 0;

    /**
     * @param accept - hands an input to the core
     * @param maximumRequests - requests that may wait at a time
     */
    public constructor(
        private readonly accept: (input: EntryInput) => void,
        private readonly maximumRequests: number,
    ) {}

    /** Number of requests that wait. */
    public get size(): number {
        return this.listeners.size;
    }

    /**
     * Hands a request to the core.
     *
     * @param createInput - makes the input that carries the request's number
     * @param listener - takes the response, once
     * @returns the request's number, or undefined when too many requests wait
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
        // The response comes with a later tick.
        this.accept(createInput(request));
        this.listeners.set(request, listener);
        return request;
    }

    /**
     * Delivers the core's response.
     *
     * @param request - number of the request; nothing happens when its caller has gone
     * @param response - the response
     */
    public resolve(request: RequestId, response: EntryResponse): void {
        const listener = this.listeners.get(request);
        this.listeners.delete(request);
        listener?.(response);
    }

    /**
     * Tells the core that a caller has gone, unless its request was answered.
     *
     * @param request - number of the request
     */
    public abandon(request: RequestId): void {
        if (this.listeners.delete(request)) {
            this.accept({ type: "requestClosed", request });
        }
    }
}
