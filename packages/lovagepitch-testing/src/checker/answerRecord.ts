/**
 * Requests and answers as the callers saw them: the second of the two records that the checker judges.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { SubmissionResult } from "@lovagepitch/types/peerMessage";

/** What a caller asked. */
export type CallerOperation = "submit" | "submitWithKey" | "query" | "cancel";

/** How a caller's request ended, as the caller saw it. */
export type RequestEnd =
    | { readonly kind: "answered"; readonly result: SubmissionResult; readonly atMilliseconds: number }
    /** No connection could be made, so the entry never had the request. */
    | { readonly kind: "refused"; readonly atMilliseconds: number }
    /** The connection broke, so the caller does not wait here any more. */
    | { readonly kind: "connection-lost"; readonly atMilliseconds: number }
    /** The caller went away. */
    | { readonly kind: "given-up"; readonly atMilliseconds: number };

/** One request of a caller. */
export interface CallerRequest {
    /** Identity of the entry that got the request. */
    readonly entry: string;
    readonly operation: CallerOperation;
    /** The caller's own job; requests of one job share it. Undefined for an operation that carries none. */
    readonly job: JobRequest | undefined;
    readonly key: string | undefined;
    /** The id the request was made under; for a key, the id that an answer named. */
    readonly submission: SubmissionKey | undefined;
    readonly sentAtMilliseconds: number;
    /** Undefined while the caller waits. */
    readonly end: RequestEnd | undefined;
}

/** Every request of a run. */
export class AnswerRecord {
    private readonly recordedRequests: CallerRequest[] = [];

    /** The requests in order of sending. */
    public get requests(): readonly CallerRequest[] {
        return this.recordedRequests;
    }

    /**
     * Adds a request; its `end` may be filled in later by the caller that made it.
     *
     * @param request - the request
     */
    public recordRequest(request: CallerRequest): void {
        this.recordedRequests.push(request);
    }
}
