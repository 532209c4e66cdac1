/**
 * Load pattern: tasks on some workers stand still or take several times as long, while the worker answers every call
 * and its health check is good. Progress shows it within a fraction of a second, so that a task can still make its
 * job's objective elsewhere.
 */

/** Least time without progress before a run counts as stalled: several views of the worker, in milliseconds. */
const leastStallMilliseconds = 200;

/**
 * Share of the estimated run time without progress that counts as a stall. Progress is listed in percent, so a task
 * that works as estimated changes it every hundredth of that time.
 */
const stallShareOfEstimate = 0.15;

/** Youngest run whose speed is judged, in milliseconds; views come every 50 ms at least. */
const leastAgeMilliseconds = 50;

/** Share of the estimate that a run must have worked for before its speed is judged. */
const leastAgeShare = 0.2;

/**
 * A run is given up when what remains of it takes longer than this multiple of the estimate. Estimates are off by up to
 * 40 %, so a sound run takes up to 1.67 of them; beyond 2.2 a new run elsewhere ends earlier.
 */
const hopelessMultiple = 2.2;

/** The same when the worker as a whole is slow: the estimates of all its runs would have to be off. */
const hopelessMultipleWhenSlow = 1.3;

/** Allowance for a stop and a start elsewhere, in milliseconds. */
const moveMilliseconds = 50;

/** Work per time, by the estimates, below which a worker counts as slow. */
const slowSpeed = 0.45;

/** Runs that must agree before a worker counts as slow. */
const leastRuns = 3;

/** Progress of one run. */
export interface RunProgress {
    /** How much is done, 0 to 100. */
    readonly percent: number;
    /** Time at work, in milliseconds. */
    readonly age: number;
    /** How long the percentage has been the same, in milliseconds. */
    readonly unchanged: number;
    /** The caller's estimate of the run time, in milliseconds. */
    readonly estimated: number;
}

/**
 * Tells whether a worker as a whole is slow.
 *
 * @param runs - its runs
 * @returns true when enough runs together have done much less than was estimated
 */
export function isSlowWorker(runs: readonly RunProgress[]): boolean {
    const judged = runs.filter(run => run.age >= leastAgeMilliseconds);
    const worked = judged.reduce((sum, run) => sum + run.percent / 100 * run.estimated, 0);
    const age = judged.reduce((sum, run) => sum + run.age, 0);
    return judged.length >= leastRuns && worked < slowSpeed * age;
}

/**
 * Tells whether a run should be stopped and started elsewhere.
 *
 * @param run - its progress
 * @param workerIsSlow - whether its worker as a whole is slow
 * @returns true when a new run on a sound worker would end earlier
 */
export function isHopeless(run: RunProgress, workerIsSlow: boolean): boolean {
    if (run.unchanged > Math.max(leastStallMilliseconds, run.estimated * stallShareOfEstimate)) {
        return true;
    }
    if (run.age < Math.max(leastAgeMilliseconds, run.estimated * leastAgeShare)) {
        return false;
    }
    const remaining = (100 - run.percent) * run.age / Math.max(1, run.percent);
    const multiple = workerIsSlow ? hopelessMultipleWhenSlow : hopelessMultiple;
    return remaining > multiple * run.estimated + moveMilliseconds;
}

/**
 * Tells whether a run that succeeded took as long as a sound worker may take.
 *
 * @param ranMilliseconds - how long it took
 * @param estimated - the caller's estimate, in milliseconds
 * @returns false when the worker is still slow
 */
export function isSoundRunTime(ranMilliseconds: number, estimated: number): boolean {
    return ranMilliseconds <= hopelessMultiple * estimated + moveMilliseconds;
}
