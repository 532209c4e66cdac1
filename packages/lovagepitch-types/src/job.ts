/**
 * Jobs, as callers send them, and answers, as callers read them.
 */
import type { SubmissionKey } from "./identity.js";

/** Any value that JSON can carry. */
export type JsonValue =
    | string
    | number
    | boolean
    | null
    | readonly JsonValue[]
    | { readonly [name: string]: JsonValue };

/** One task of a job; its sizes and time are the caller's guess. */
export interface TaskRequest {
    readonly payload: JsonValue;
    readonly cores: number;
    readonly memoryMegabytes: number;
    readonly expectedMilliseconds: number;
}

/** A job: tasks that run in parallel and are answered as a whole. */
export interface JobRequest {
    readonly team: string;
    readonly service: string;
    readonly kind: string;
    /** Time from acceptance to the final answer, in milliseconds. */
    readonly deadlineMilliseconds: number;
    readonly idempotent: boolean;
    readonly tasks: readonly TaskRequest[];
}

/** What is known of one task's execution when the final answer is given. */
export type TaskExecution = "succeeded" | "failed" | "not-run" | "may-have-run";

/** One task's part of an answer. */
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
