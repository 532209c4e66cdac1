/**
 * Submissions that an entry keeps, and those whose answer it has collected for a keeper that is gone.
 */
import type { PeerAddress, SubmissionIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { ForwardedRequest, SubmissionResult } from "@lovagepitch/types/peerMessage";
import type { RequestId } from "../entryInput.js";

/** Someone who waits for a result. */
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
    /** A task has been sent to an agent. */
    readonly hasStartedTasks: boolean;
    readonly requesters: readonly Requester[];
}

/** A submission with its final result. */
export interface FinishedSubmission {
    readonly state: "finished";
    readonly submission: SubmissionKey;
    /** Empty when the job was never seen here. */
    readonly jobDigest: string;
    readonly result: SubmissionResult;
    /** Size that counts against the memory for answers. */
    readonly bytes: number;
}

/** Any submission that the entry has a row of. */
export type SubmissionRow = LiveSubmission | FinishedSubmission;
