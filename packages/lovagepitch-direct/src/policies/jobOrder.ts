/**
 * The decision in which order waiting jobs are placed.
 */
import type { DirectJob } from "../model/directJob.js";
import type { WaitingWork } from "./waitingOrder.js";

/** A job with tasks that wait to be placed. */
export interface WaitingJob extends WaitingWork {
    readonly job: DirectJob;
    readonly acceptedAt: number;
    /** Number of its tasks that wait to be placed. */
    readonly waitingTasks: number;
}

/** Orders waiting jobs; the first one is placed first. */
export abstract class JobOrder {
    /**
     * Orders jobs.
     *
     * @param waiting - jobs with waiting tasks
     * @param now - current monotonic time, in milliseconds
     * @returns the same jobs in the order in which they are placed
     */
    public abstract sort<Job extends WaitingJob>(waiting: readonly Job[], now: number): readonly Job[];
}
