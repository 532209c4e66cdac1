/**
 * Callers' requests that an entry passes on to the keeper of their submission.
 */
import type { SubmissionIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { RequestId } from "../entryInput.js";

/** A caller's request at the wrong entry. */
export interface ForwardedCaller {
    readonly request: RequestId;
    readonly operation: "submit" | "query" | "cancel";
    /** The submission's id was bound to the caller's key before; the request is finished even in a planned stop. */
    readonly isClaimed?: boolean;
}

/** One submission whose keeper is asked. */
export interface ForwardRow {
    readonly submission: SubmissionKey;
    readonly identity: SubmissionIdentity;
    /** Known once a caller submitted here. */
    readonly job: JobRequest | undefined;
    readonly callers: readonly ForwardedCaller[];
    readonly startedAtMilliseconds: number;
    /** When the oldest unanswered message was sent; undefined while the keeper has answered all. */
    readonly awaitingReplySinceMilliseconds: number | undefined;
    /** The keeper has the job and will send its result. */
    readonly isAccepted: boolean;
}
