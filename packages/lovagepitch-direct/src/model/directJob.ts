/**
 * A direct job: the caller chooses its id and receives its answer as the response to the submission. Jobs are not
 * stored.
 */
import { fitsInto, type Resources } from "./resources.js";

/** A job as an entry accepts it. */
export interface DirectJob {
    /** Chosen by the caller; a resubmission of the job carries the same id. */
    readonly id: string;
    /** Name of the route that received the job. */
    readonly route: string;
    /** Service whose workers may run the tasks. */
    readonly service: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Passed to the worker unchanged with each task. */
    readonly specification: string;
    readonly taskCount: number;
    /** Resources that each task occupies. */
    readonly needs: Resources;
    /** The caller's rough estimate of the run time of one task. */
    readonly estimatedMilliseconds: number;
    /** Label that a worker must have; undefined when any worker of the service may run the tasks. */
    readonly requiredLabel: string | undefined;
    /** Largest number of tasks of the job that run on one worker at the same time. */
    readonly maximumPerWorker: number;
    /** The job is on time when it ends within this multiple of its longest task, plus the allowance. */
    readonly stretch: number;
    readonly allowanceMilliseconds: number;
    /** Number of failed runs of one task at which the job fails. */
    readonly maximumAttempts: number;
    /** Time that the caller waits for the response. */
    readonly callerWaitMilliseconds: number;
}

/**
 * Tells whether a submission repeats that of another job.
 *
 * @param job - a job
 * @param other - a job of the same id
 * @returns true when both ask for the same work in the same queue
 */
export function isSameJob(job: DirectJob, other: DirectJob): boolean {
    return job.id === other.id && job.route === other.route && job.specification === other.specification
        && job.taskCount === other.taskCount && job.requiredLabel === other.requiredLabel
        && job.maximumPerWorker === other.maximumPerWorker && fitsInto(job.needs, other.needs)
        && fitsInto(other.needs, job.needs);
}

/** How a job ended for its caller. */
export type JobAnswer =
    /** Every task succeeded. */
    | { readonly kind: "done" }
    /** A task failed as many times as the route permits. */
    | { readonly kind: "failed" }
    /** No task of the job has started or will start. */
    | { readonly kind: "refused"; readonly reason: RefusalReason; readonly retryAfterSeconds: number }
    /** Another job of this id is open at the entry. */
    | { readonly kind: "id-in-use" }
    /** The caller cancelled the job or closed the connection. */
    | { readonly kind: "cancelled" }
    /**
     * Tasks had started, under this submission or an earlier one, and are being stopped; the caller may submit the job
     * again.
     */
    | { readonly kind: "interrupted"; readonly reason: string };

/** Reason for which a job was refused. */
export type RefusalReason =
    | "no-worker"
    | "no-room-in-time"
    /** Its queue takes more than its share while others wait. */
    | "over-share"
    /** Jobs of its kind crash workers, and the few workers that run them are down or can not serve it in time. */
    | "kind-confined"
    | "queue-full"
    /** Open requests hold as much memory as they may. */
    | "memory-full"
    | "shutting-down"
    | "no-configuration";
