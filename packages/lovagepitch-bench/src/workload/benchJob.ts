/**
 * Jobs of a bench run, with the actual run times, which the policies do not know.
 */

/** A task with its actual and its declared run time. */
export interface BenchTask {
    /** Actual run time, in milliseconds. */
    readonly actualMilliseconds: number;
    /** Run time that the caller declares, in milliseconds. */
    readonly declaredMilliseconds: number;
}

/** A job with its arrival time and tasks. */
export interface BenchJob {
    readonly index: number;
    /** Time at which the caller submits the job, in milliseconds since the start of the run. */
    readonly arrivesAtMilliseconds: number;
    readonly team: string;
    readonly deadlineMilliseconds: number;
    readonly tasks: readonly BenchTask[];
    /** True when every task fails on any worker. */
    readonly fails?: boolean;
}

/**
 * Finds the run time of a job's longest task, the lower bound of its response time.
 *
 * @param job - job with at least one task
 * @returns actual run time in milliseconds
 */
export function findLongestTaskMilliseconds(job: BenchJob): number {
    return Math.max(...job.tasks.map(task => task.actualMilliseconds));
}
