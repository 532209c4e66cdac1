/**
 * Submissions that an entry owns, and those whose answer it has collected because their owner is unavailable.
 */
import type { PeerAddress, SubmissionIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { ForwardedRequest, SubmissionResult } from "@lovagepitch/types/peerMessage";
import type { RequestId } from "../entryInput.js";

/** A caller or a forwarding entry that waits for a result. */
export type Requester =
    | { readonly kind: "caller"; readonly request: RequestId }
    | { readonly kind: "entry"; readonly address: PeerAddress; readonly operation: ForwardedRequest["operation"] };

/** A submission whose job was accepted and has no final result yet. */
export interface LiveSubmission {
    readonly state: "live";
    readonly submission: SubmissionKey;
    readonly identity: SubmissionIdentity;
    readonly job: JobRequest;
    readonly jobDigest: string;
    /** Key of the work class; see workClass.ts. */
    readonly workClass: string;
    readonly arrivedAtMilliseconds: number;
    readonly deadlineAtMilliseconds: number;
    readonly configurationVersion: number;
    readonly succeededTasks: number;
    /** Expected run time of one of its tasks, in milliseconds. */
    readonly expectedTaskMilliseconds: number;
    /** True when at least one task has been sent to an agent. */
    readonly hasStartedTasks: boolean;
    readonly requesters: readonly Requester[];
}

/** A submission with its final result. */
export interface FinishedSubmission {
    readonly state: "finished";
    readonly submission: SubmissionKey;
    /** Empty when this entry never received the job. */
    readonly jobDigest: string;
    readonly result: SubmissionResult;
    /** Size in bytes that counts towards `maximumAnswerBytes`. */
    readonly bytes: number;
}

/** A submission in any state. */
export type SubmissionRow = LiveSubmission | FinishedSubmission;
