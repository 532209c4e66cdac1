/**
 * A caller's request in a deployment in one process.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { CallerOperation, CallerRequest, RequestEnd } from "../checker/answerRecord.js";

/** A request that fills in its own end. */
export class PendingRequest implements CallerRequest {
    /** {@inheritDoc CallerRequest.entry} */
    public entry = "";
    /** {@inheritDoc CallerRequest.submission} */
    public submission: SubmissionKey | undefined;
    /** {@inheritDoc CallerRequest.end} */
    public end: RequestEnd | undefined;
    /** The entry has it. */
    public hasArrived = false;
    /** Called once with the request when it has ended. */
    public onEnd: ((request: PendingRequest) => void) | undefined;

    /**
     * @param number - number of the request in this deployment
     * @param entryIndex - position of the entry that gets it
     * @param operation - what is asked
     * @param job - the job, when the operation carries one
     * @param key - the caller's key, when it uses one
     * @param sentAtMilliseconds - when the caller sent it, in milliseconds since the epoch
     */
    public constructor(
        public readonly number: number,
        public readonly entryIndex: number,
        public readonly operation: CallerOperation,
        public readonly job: JobRequest | undefined,
        public readonly key: string | undefined,
        public readonly sentAtMilliseconds: number,
    ) {}
}
