/**
 * A direct job: the caller chose its id, and its answer is the response to its submission. It is not stored.
 */
import type { Resources } from "./resources.js";

/** A job as an entry accepts it. */
export interface DirectJob {
    /** Chosen by the caller; a job that is submitted again carries the same id. */
    readonly id: string;
    /** Name of the route that the job came in on. */
    readonly route: string;
    /** Service whose workers may run the tasks. */
    readonly service: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** What the tasks are told; passed on unchanged. */
    readonly specification: string;
    readonly taskCount: number;
    /** What each task occupies. */
    readonly needs: Resources;
    /** The caller's rough estimate of one task's run time. */
    readonly estimatedMilliseconds: number;
    /** Label that a worker must have; undefined when any will do. */
    readonly requiredLabel: string | undefined;
    /** Most tasks of the job on one worker at a time. */
    readonly maximumPerWorker: number;
    /** The job is on time when it ends within this multiple of its longest task, plus the allowance. */
    readonly stretch: number;
    readonly allowanceMilliseconds: number;
    /** Runs of one task that may fail before the job counts as failed. */
    readonly maximumAttempts: number;
    /** How long the caller waits for the response. */
    readonly callerWaitMilliseconds: number;
}

/** How a job ended for its caller. */
export type JobAnswer =
    /** Every task succeeded. */
    | { readonly kind: "done" }
    /** A task failed as often as its route permits. */
    | { readonly kind: "failed" }
    /** No task was ever started, and none will be. */
    | { readonly kind: "refused"; readonly reason: RefusalReason; readonly retryAfterSeconds: number }
    /** The caller cancelled it. */
    | { readonly kind: "cancelled" }
    /** Tasks were started and are stopped; the job may be submitted again. */
    | { readonly kind: "interrupted"; readonly reason: string };

/** Why a job was refused. */
export type RefusalReason = "no-worker" | "no-room-in-time" | "queue-full" | "shutting-down" | "no-configuration";
