/**
 * Jobs of a bench run, with the true run times that no policy is told.
 */

/** One task. */
export interface BenchTask {
    /** True run time, in milliseconds. */
    readonly milliseconds: number;
    /** What the caller declares, in milliseconds. */
    readonly declaredMilliseconds: number;
}

/** One job. */
export interface BenchJob {
    readonly number: number;
    /** Arrival at the caller, in milliseconds from the start of the run. */
    readonly arrivesAtMilliseconds: number;
    readonly team: string;
    readonly deadlineMilliseconds: number;
    readonly tasks: readonly BenchTask[];
    /** Every task fails wherever it runs. */
    readonly fails?: boolean;
}

/**
 * Finds the run time of a job's longest task, which no placement can beat.
 *
 * @param job - the job
 * @returns milliseconds
 */
export function findLongestTask(job: BenchJob): number {
    return Math.max(...job.tasks.map(task => task.milliseconds));
}
