/**
 * Caller request in a simulated deployment.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { CallerOperation, CallerRequest, RequestEnd } from "../checker/answerRecord.js";

/** A caller request whose outcome is set when it ends. */
export class PendingRequest implements CallerRequest {
    /** {@inheritDoc CallerRequest.entry} */
    public entry = "";
    /** {@inheritDoc CallerRequest.submission} */
    public submission: SubmissionKey | undefined;
    /** {@inheritDoc CallerRequest.end} */
    public end: RequestEnd | undefined;
    /** True once the request has reached the entry. */
    public hasArrived = false;
    /** Called once, with the request, when it has ended. */
    public onEnd: ((request: PendingRequest) => void) | undefined;

    /**
     * @param id - id of the request, unique within the deployment
     * @param entryIndex - index of the entry that the request is sent to
     * @param operation - operation that the caller requests
     * @param job - the submitted job; undefined for a query or a cancellation
     * @param key - idempotency key of the caller; undefined if it uses an issued submission id
     * @param sentAtMilliseconds - when the caller sent the request, in milliseconds since the epoch
     */
    public constructor(
        public readonly id: number,
        public readonly entryIndex: number,
        public readonly operation: CallerOperation,
        public readonly job: JobRequest | undefined,
        public readonly key: string | undefined,
        public readonly sentAtMilliseconds: number,
    ) {}
}
