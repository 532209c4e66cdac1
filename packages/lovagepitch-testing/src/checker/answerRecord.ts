/**
 * Requests and answers as observed by the callers. The checker compares them with the task starts (startRecord.ts).
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { SubmissionResult } from "@lovagepitch/types/peerMessage";

/** Operation that a caller requested. */
export type CallerOperation = "submit" | "submitWithKey" | "query" | "cancel";

/** Outcome of a caller's request, as observed by the caller. */
export type RequestEnd =
    | { readonly kind: "answered"; readonly result: SubmissionResult; readonly atMilliseconds: number }
    /** The connection was refused, so the entry never received the request. */
    | { readonly kind: "refused"; readonly atMilliseconds: number }
    /** The connection broke before an answer arrived. */
    | { readonly kind: "connection-lost"; readonly atMilliseconds: number }
    /** The caller closed the connection before an answer arrived. */
    | { readonly kind: "given-up"; readonly atMilliseconds: number };

/** A request of a caller, with its outcome once there is one. */
export interface CallerRequest {
    /** Address and incarnation of the entry that the request was sent to. */
    readonly entry: string;
    readonly operation: CallerOperation;
    /** The submitted job; all requests for one job share this object. Undefined for a query or a cancellation. */
    readonly job: JobRequest | undefined;
    /** The idempotency key that the caller chose; undefined when it uses an issued submission id. */
    readonly key: string | undefined;
    /** Submission id that the request was sent under; for a request with a key, the id that the answer contains. */
    readonly submission: SubmissionKey | undefined;
    readonly sentAtMilliseconds: number;
    /** Undefined while the caller waits for an answer. */
    readonly end: RequestEnd | undefined;
}

/** All caller requests of a test run. */
export class AnswerRecord {
    private readonly recordedRequests: CallerRequest[] = [];

    /** The requests in the order in which they were sent. */
    public get requests(): readonly CallerRequest[] {
        return this.recordedRequests;
    }

    /**
     * Adds a request. The caller that sent it may set `end` later.
     *
     * @param request - the request, stored by reference
     */
    public recordRequest(request: CallerRequest): void {
        this.recordedRequests.push(request);
    }
}
