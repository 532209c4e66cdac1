/**
 * Load pattern: a worker fails or stalls every task while its health check succeeds, so it always has free capacity and
 * attracts all work. It receives no tasks for a pause that grows with each failure, and then one task at a time.
 * Failures of a job that also fails on other workers do not count against a worker.
 */

/** First pause of a failing worker, in milliseconds; it doubles with each failed trial. */
const initialPauseMilliseconds = 400;

/** Longest pause, in milliseconds; a worker that has recovered receives tasks again within this time. */
const maximumPauseMilliseconds = 3200;

/** Recent failures of one worker and the restrictions that follow from them. */
export interface WorkerHealth {
    /** Ids of jobs that failed consecutively, without a success in between. */
    readonly failedJobs: readonly string[];
    /** The worker receives no tasks before this instant, in milliseconds. */
    readonly pausedUntil: number;
    readonly pauseMilliseconds: number;
    /** True from the start of a pause until a run succeeds; after the pause the worker receives one task at a time. */
    readonly isOnTrial: boolean;
}

/** Health of a worker without known failures. */
export const initialWorkerHealth: WorkerHealth = {
    failedJobs: [],
    pausedUntil: 0,
    pauseMilliseconds: 0,
    isOnTrial: false,
};

/**
 * Records a failed run.
 *
 * @param health - health of the worker before the failure
 * @param job - id of the job
 * @param hasFailedElsewhere - true when the job has also failed on another worker
 * @param now - current monotonic time, in milliseconds
 * @param failuresUntilPause - consecutive failures of different jobs after which the worker is paused
 * @returns health of the worker after the failure
 */
export function recordFailure(
    health: WorkerHealth,
    job: string,
    hasFailedElsewhere: boolean,
    now: number,
    failuresUntilPause: number,
): WorkerHealth {
    if (hasFailedElsewhere || (health.failedJobs.includes(job) && !health.isOnTrial)) {
        return health;
    }
    const failedJobs = [...health.failedJobs, job];
    return health.isOnTrial || failedJobs.length >= failuresUntilPause
        ? pauseWorker({ ...health, failedJobs: [] }, now)
        : { ...health, failedJobs };
}

/**
 * Records a stalled run. The worker is paused at once, because a job cannot cause a stall on a healthy worker.
 *
 * @param health - health of the worker before the stall
 * @param now - current monotonic time, in milliseconds
 * @returns health of the worker after the stall
 */
export function recordStall(health: WorkerHealth, now: number): WorkerHealth {
    return now < health.pausedUntil ? health : pauseWorker(health, now);
}

/**
 * Records a successful run, which clears failures, pause and trial.
 *
 * @param health - health of the worker before the success
 * @returns health of the worker after the success
 */
export function recordSuccess(health: WorkerHealth): WorkerHealth {
    return health === initialWorkerHealth || (health.pauseMilliseconds === 0 && health.failedJobs.length === 0)
        ? health
        : initialWorkerHealth;
}

/**
 * Returns the number of runs that a worker may have at the same time.
 *
 * @param health - health of the worker
 * @param now - current monotonic time, in milliseconds
 * @returns 0 during a pause, 1 on trial, otherwise infinity
 */
export function getMaximumRuns(health: WorkerHealth, now: number): number {
    if (now < health.pausedUntil) {
        return 0;
    }
    return health.isOnTrial ? 1 : Number.POSITIVE_INFINITY;
}

function pauseWorker(health: WorkerHealth, now: number): WorkerHealth {
    const pauseMilliseconds = Math.min(
        maximumPauseMilliseconds,
        Math.max(initialPauseMilliseconds, health.pauseMilliseconds * 2),
    );
    return { failedJobs: [], pausedUntil: now + pauseMilliseconds, pauseMilliseconds, isOnTrial: true };
}
