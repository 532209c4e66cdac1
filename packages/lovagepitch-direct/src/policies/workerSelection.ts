/**
 * The decision which worker runs a task.
 */
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { Resources } from "../model/resources.js";

/** A worker that may run a task. */
export interface WorkerCandidate {
    readonly agent: string;
    /** Free resources according to the entry's latest information. */
    readonly available: Resources;
    readonly isInOwnZone: boolean;
    /** True when the worker recently failed or was slow and runs one task at a time until a run succeeds. */
    readonly isOnTrial: boolean;
    /** Factor by which tasks run faster than on the average worker; 1 when unknown. */
    readonly speed: number;
}

/** What a task needs of its worker. */
export interface TaskDemand {
    /** Resources that the task occupies. */
    readonly needs: Resources;
    /** The caller's rough estimate of its run time, in milliseconds. */
    readonly estimatedMilliseconds: number;
    /** Expected run time of the longest task of its job at speed 1, in milliseconds. */
    readonly longestMilliseconds: number;
    /** Time left until the latest start at speed 1 with which its job still ends on time, in milliseconds; may be negative. */
    readonly spareMilliseconds: number;
}

/** Chooses the worker of a task among those that may run it. */
export abstract class WorkerSelection {
    /**
     * Chooses a worker for one task.
     *
     * @param candidates - workers that may run the task, whether or not they have capacity
     * @param task - what the task needs
     * @param random - source of randomness, so that entries with the same information choose differently
     * @returns the chosen worker, or undefined when the task has to wait
     */
    public abstract choose(
        candidates: readonly WorkerCandidate[],
        task: TaskDemand,
        random: RandomSource,
    ): WorkerCandidate | undefined;
}
