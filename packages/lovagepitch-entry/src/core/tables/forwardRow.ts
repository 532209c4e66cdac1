/**
 * Callers' requests that an entry forwards to the owner entry of their submission.
 */
import type { SubmissionIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { RequestId } from "../entryInput.js";

/** A caller's request for a submission that another entry owns. */
export interface ForwardedCaller {
    readonly request: RequestId;
    readonly operation: "submit" | "query" | "cancel";
    /** True when the caller's key was bound to the submission; such a request completes even in a graceful shutdown. */
    readonly isClaimed?: boolean;
}

/** The requests for one submission that were forwarded to its owner. */
export interface ForwardRow {
    readonly submission: SubmissionKey;
    readonly identity: SubmissionIdentity;
    /** Undefined until a caller has submitted the job to this entry. */
    readonly job: JobRequest | undefined;
    readonly callers: readonly ForwardedCaller[];
    readonly startedAtMilliseconds: number;
    /** When the oldest message without a reply was sent; undefined when the owner has replied to all. */
    readonly awaitingReplySinceMilliseconds: number | undefined;
    /** True when the owner has acknowledged the job and will send its result. */
    readonly isAccepted: boolean;
}
