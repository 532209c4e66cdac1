/**
 * Load pattern: a worker fails or stalls whatever it starts while its health check is good, so it always has room and
 * attracts all work. It is left out for a growing pause and then tried with one task at a time. A job that also fails
 * on other workers is not held against them.
 */

/** First pause of a suspect worker, in milliseconds; it doubles with each failed trial. */
const initialPauseMilliseconds = 400;

/** Longest pause, in milliseconds: a worker that has recovered is back in use within it. */
const maximumPauseMilliseconds = 3200;

/** How one worker has done lately. */
export interface WorkerHealth {
    /** Jobs that failed in a row, without a success between them. */
    readonly failedJobs: readonly string[];
    /** The worker gets nothing before this instant, in milliseconds. */
    readonly pausedUntil: number;
    readonly pauseMilliseconds: number;
    /** True from the end of a pause until a run succeeds: one task at a time. */
    readonly isOnTrial: boolean;
}

/** A worker of which nothing bad is known. */
export const initialWorkerHealth: WorkerHealth = {
    failedJobs: [],
    pausedUntil: 0,
    pauseMilliseconds: 0,
    isOnTrial: false,
};

/**
 * Notes a failed run.
 *
 * @param health - the worker so far
 * @param job - id of the job
 * @param failedElsewhere - true when the job has also failed on another worker
 * @param now - the time, in milliseconds
 * @param failuresUntilSuspect - failures in a row, each of another job, that make the worker suspect
 * @returns the worker's health now
 */
export function recordFailure(
    health: WorkerHealth,
    job: string,
    failedElsewhere: boolean,
    now: number,
    failuresUntilSuspect: number,
): WorkerHealth {
    if (failedElsewhere || (health.failedJobs.includes(job) && !health.isOnTrial)) {
        return health;
    }
    const failedJobs = [...health.failedJobs, job];
    return health.isOnTrial || failedJobs.length >= failuresUntilSuspect
        ? pauseWorker({ ...health, failedJobs: [] }, now)
        : { ...health, failedJobs };
}

/**
 * Notes a run without progress; a job cannot cause that on a sound worker.
 *
 * @param health - the worker so far
 * @param now - the time, in milliseconds
 * @returns the worker's health now
 */
export function recordStall(health: WorkerHealth, now: number): WorkerHealth {
    return now < health.pausedUntil ? health : pauseWorker(health, now);
}

/**
 * Notes a success.
 *
 * @param health - the worker so far
 * @returns the worker's health now
 */
export function recordSuccess(health: WorkerHealth): WorkerHealth {
    return health === initialWorkerHealth || (health.pauseMilliseconds === 0 && health.failedJobs.length === 0)
        ? health
        : initialWorkerHealth;
}

/**
 * Tells how many tasks a worker may run for this entry.
 *
 * @param health - the worker
 * @param now - the time, in milliseconds
 * @returns 0 during a pause, 1 on trial, otherwise no bound
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
