/**
 * Load pattern: tasks on some workers stand still or take several times as long, while the worker answers every call
 * and its health check is good. Progress shows it within a fraction of a second, so that a task can still make its
 * job's objective elsewhere.
 */

/** Least time without progress before a run counts as stalled: several views of the worker, in milliseconds. */
const minimumStallMilliseconds = 200;

/**
 * Share of the estimated run time without progress that counts as a stall. Progress is listed in percent, so a task
 * that works as estimated changes it every hundredth of that time.
 */
const stallFractionOfEstimate = 0.15;

/** Youngest run whose speed is judged, in milliseconds; views come every 75 ms at least. */
const minimumAgeMilliseconds = 50;

/** Share of the estimate that a run must have worked for before its speed is judged. */
const minimumAgeFraction = 0.2;

/**
 * A single run is only judged by its speed on a worker that is on trial, since sound tasks of one kind differ by this much:
 * one that takes longer than this multiple of the estimate is probably on a slow worker.
 */
const maximumHealthyFactor = 3;

/** Allowance for a stop and a start elsewhere, in milliseconds. */
const rescheduleOverheadMilliseconds = 50;

/** Work per time, by the estimates, below which a worker counts as slow; on sound workers it is about 0.75. */
const slowSpeedThreshold = 0.35;

/** Runs that must be judged together before a worker counts as slow. */
const minimumMeasuredRuns = 4;

/** A run on a slow worker is only moved when it would end this much earlier, as a share of its run time there. */
const rescheduleMargin = 1.3;

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

/** Progress of one run since an earlier look at it. */
export interface ProgressDelta {
    /** How much was done meanwhile, in percent. */
    readonly percent: number;
    /** Time at work meanwhile, in milliseconds. */
    readonly elapsedMilliseconds: number;
    /** The caller's estimate of the run time, in milliseconds. */
    readonly estimated: number;
}

/**
 * Measures how fast a worker as a whole is.
 *
 * @param deltas - what each of its runs did since the last measurement
 * @returns work done over time, by the estimates, when that is so little that the worker counts as slow
 */
export function measureSlowWorkerSpeed(deltas: readonly ProgressDelta[]): number | undefined {
    const measured = deltas.filter(step => step.elapsedMilliseconds >= minimumAgeMilliseconds);
    const workedMilliseconds = measured.reduce((sum, step) => sum + step.percent / 100 * step.estimated, 0);
    const elapsedMilliseconds = measured.reduce((sum, step) => sum + step.elapsedMilliseconds, 0);
    return measured.length >= minimumMeasuredRuns && workedMilliseconds < slowSpeedThreshold * elapsedMilliseconds
        ? workedMilliseconds / elapsedMilliseconds
        : undefined;
}

/**
 * Expects how long a run goes on.
 *
 * @param run - its progress
 * @returns milliseconds at its speed so far; undefined while it is too young to tell
 */
export function estimateRemainingMilliseconds(run: RunProgress): number | undefined {
    if (run.percent <= 0 || run.age < minimumAgeMilliseconds) {
        return undefined;
    }
    return (100 - run.percent) * run.age / run.percent;
}

/**
 * Tells whether a run should be stopped and started elsewhere.
 *
 * @param run - its progress
 * @param slowWorkerSpeed - speed of its worker when the worker counts as slow, undefined otherwise
 * @param isOnTrial - true when the worker is tried with this run alone
 * @returns true when a new run on a sound worker would end earlier
 */
export function shouldRescheduleRun(
    run: RunProgress,
    slowWorkerSpeed: number | undefined,
    isOnTrial: boolean,
): boolean {
    if (run.unchanged > Math.max(minimumStallMilliseconds, run.estimated * stallFractionOfEstimate)) {
        return true;
    }
    if (run.age < Math.max(minimumAgeMilliseconds, run.estimated * minimumAgeFraction)) {
        return false;
    }
    const estimatedTotalMilliseconds = 100 * run.age / Math.max(1, run.percent);
    if (slowWorkerSpeed !== undefined) {
        return estimatedTotalMilliseconds - run.age
            > estimatedTotalMilliseconds * slowWorkerSpeed * rescheduleMargin + rescheduleOverheadMilliseconds;
    }
    return isOnTrial
        && estimatedTotalMilliseconds > maximumHealthyFactor * run.estimated + rescheduleOverheadMilliseconds;
}

/** A run that ends a trial takes at most this multiple of the estimate: most sound ones do, and few slow ones. */
const trialSuccessFactor = 2;

/**
 * Tells whether a run that succeeded took as long as a sound worker may take.
 *
 * @param ranMilliseconds - how long it took
 * @param estimated - the caller's estimate, in milliseconds
 * @returns false when the worker is probably still slow
 */
export function isHealthyRunTime(ranMilliseconds: number, estimated: number): boolean {
    return ranMilliseconds <= trialSuccessFactor * estimated + rescheduleOverheadMilliseconds;
}
