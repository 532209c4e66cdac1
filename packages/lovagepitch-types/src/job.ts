/**
 * Jobs that callers submit and the answers that they receive.
 */
import type { SubmissionKey } from "./identity.js";

/** Any JSON value. */
export type JsonValue =
    | string
    | number
    | boolean
    | null
    | readonly JsonValue[]
    | { readonly [name: string]: JsonValue };

/** One task of a job; cores, memory and duration are the caller's estimates. */
export interface TaskRequest {
    readonly payload: JsonValue;
    readonly cores: number;
    readonly memoryMegabytes: number;
    readonly expectedMilliseconds: number;
}

/** A job: tasks that run in parallel and share one final answer. */
export interface JobRequest {
    readonly team: string;
    readonly service: string;
    readonly kind: string;
    /** Longest time from acceptance to the final answer, in milliseconds. */
    readonly deadlineMilliseconds: number;
    readonly idempotent: boolean;
    readonly tasks: readonly TaskRequest[];
}

/** Execution state of a task in the final answer. */
export type TaskExecution = "succeeded" | "failed" | "not-run" | "may-have-run";

/** Result of one task in an answer. */
export interface TaskAnswer {
    readonly index: number;
    readonly state: TaskExecution;
    /** Present only in a complete answer. */
    readonly output?: JsonValue;
    readonly worker?: string;
    readonly availabilityZone?: string;
}

/** The final answer to a submission: complete or failed, never partial. */
export interface JobAnswer {
    readonly submission: SubmissionKey;
    readonly state: "complete" | "failed";
    /** Why the job failed; absent in a complete answer. */
    readonly reason?: string;
    readonly configurationVersion: number;
    readonly tasks: readonly TaskAnswer[];
    /** An id for the caller's next submission. */
    readonly nextSubmission?: SubmissionKey;
}

/** State of a submission that has no final answer yet. */
export interface SubmissionProgress {
    readonly submission: SubmissionKey;
    readonly state: "issued" | "waiting" | "running" | "collecting" | "cancelling";
    readonly finishedTasks: number;
    readonly tasks: number;
}
