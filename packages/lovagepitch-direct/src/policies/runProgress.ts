/**
 * Load pattern: tasks on some workers stall or take several times as long as usual, while the worker answers every call
 * and its health check succeeds. Task progress reveals this within a fraction of a second, early enough to run the task
 * on another worker and still meet the job's objective. Some workers are slower than others without any fault, and a few
 * tasks take several times as long as the others of their kind; neither makes a worker slow in this sense.
 */

/**
 * Shortest time without progress after which a run counts as stalled, in milliseconds; it spans several worker views.
 */
const minimumStallMilliseconds = 200;

/**
 * Time without progress that counts as a stall, as a fraction of the estimated run time. Progress is reported in
 * percent, so a task that runs as estimated changes it every hundredth of that time.
 */
const stallFractionOfEstimate = 0.15;

/**
 * Time without progress that counts as a stall, as a multiple of the run's mean time for each percent until then; a task
 * that takes several times as long as estimated also progresses more slowly.
 */
const stallFactorOfPace = 3;

/** Age from which the speed of a run is evaluated, in milliseconds; worker views arrive at least every 75 ms. */
const minimumAgeMilliseconds = 50;

/** Age from which the speed of a run is evaluated, as a fraction of the estimated run time. */
const minimumAgeFraction = 0.2;

/**
 * Run time, as a multiple of the estimate, above which a single run indicates a slow worker. It applies only to workers
 * on trial, because tasks of one kind differ by this much on healthy workers too.
 */
const maximumHealthyFactor = 3;

/** Time that stopping a run and starting it on another worker takes, in milliseconds. */
const rescheduleOverheadMilliseconds = 50;

/**
 * Ratio of estimated work done to elapsed time below which a worker counts as slow, for a worker of speed 1. It is
 * multiplied by the speed that the worker usually has.
 */
const slowSpeedThreshold = 0.35;

/** Runs that must be measured together before a worker can count as slow. */
const minimumMeasuredRuns = 4;

/** A run on a slow worker is rescheduled only if its remaining time exceeds that of a new run by this factor. */
const rescheduleMargin = 1.3;

/** A run ends a trial within this multiple of the estimate; most runs on healthy workers do, few on slow ones. */
const trialSuccessFactor = 2;

/** Progress of one run. */
export interface RunProgress {
    /** Completed part of the task, 0 to 100. */
    readonly percent: number;
    /** Time since the run started, in milliseconds. */
    readonly age: number;
    /** Time since `percent` last changed, in milliseconds. */
    readonly unchanged: number;
    /** The caller's estimate of the run time, in milliseconds. */
    readonly estimated: number;
}

/** Progress of one run since the previous measurement. */
export interface ProgressDelta {
    /** Part of the task completed since then, in percent. */
    readonly percent: number;
    /** Running time since then, in milliseconds. */
    readonly elapsedMilliseconds: number;
    /** The caller's estimate of the run time, in milliseconds. */
    readonly estimatedMilliseconds: number;
}

/**
 * Measures the speed of a worker by the median over its runs, which a few long tasks among them do not change.
 *
 * @param deltas - progress of each of its runs since the previous measurement
 * @param endedSpeeds - speeds of its runs that have ended since then; without them, long tasks would be overrepresented
 * @param usualSpeed - speed that the worker has without a fault; 1 when unknown
 * @returns the ratio of estimated work done to elapsed time if the worker counts as slow, otherwise undefined
 */
export function measureSlowWorkerSpeed(
    deltas: readonly ProgressDelta[],
    endedSpeeds: readonly number[],
    usualSpeed: number,
): number | undefined {
    const speeds = [...endedSpeeds];
    for (const { percent, elapsedMilliseconds, estimatedMilliseconds } of deltas) {
        if (elapsedMilliseconds >= minimumAgeMilliseconds) {
            speeds.push(percent / 100 * estimatedMilliseconds / elapsedMilliseconds);
        }
    }
    speeds.sort((left, right) => left - right);
    const median = speeds[Math.floor(speeds.length / 2)] ?? usualSpeed;
    return speeds.length >= minimumMeasuredRuns && median < slowSpeedThreshold * usualSpeed ? median : undefined;
}

/**
 * Tells whether the progress of a run shows something of its worker. Long tasks remain while others come and go, so runs
 * of an age that few tasks reach on a healthy worker are mostly long tasks.
 *
 * @param age - time since the run started, in milliseconds
 * @param estimatedMilliseconds - the caller's estimate of the run time, in milliseconds
 * @param usualSpeed - speed that the worker has without a fault; 1 when unknown
 * @returns false when the run has taken so long that the cause may be the task
 */
export function isYoungRun(age: number, estimatedMilliseconds: number, usualSpeed: number): boolean {
    return age <= trialSuccessFactor * estimatedMilliseconds / usualSpeed + rescheduleOverheadMilliseconds;
}

/**
 * Estimates the remaining run time from the average speed of the run.
 *
 * @param run - progress of the run
 * @returns remaining milliseconds, or undefined while the run is too young for an estimate
 */
export function estimateRemainingMilliseconds(run: RunProgress): number | undefined {
    if (run.percent <= 0 || run.age < minimumAgeMilliseconds) {
        return undefined;
    }
    return (100 - run.percent) * run.age / run.percent;
}

/**
 * Tells whether a run should be stopped and its task started on another worker.
 *
 * @param run - progress of the run
 * @param slowWorkerSpeed - speed of its worker if the worker counts as slow, otherwise undefined
 * @param isOnTrial - true when the worker is on trial and this is its only run
 * @param usualSpeed - speed that a worker of its kind has without a fault; 1 when unknown
 * @returns true when the run has stalled, or when a new run on a healthy worker would end earlier
 */
export function shouldRescheduleRun(
    run: RunProgress,
    slowWorkerSpeed: number | undefined,
    isOnTrial: boolean,
    usualSpeed = 1,
): boolean {
    if (run.unchanged > getStallLimitMilliseconds(run, usualSpeed)) {
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
        && estimatedTotalMilliseconds
            > maximumHealthyFactor * run.estimated / usualSpeed + rescheduleOverheadMilliseconds;
}

function getStallLimitMilliseconds(run: RunProgress, usualSpeed: number): number {
    const paceMilliseconds = run.percent > 0 ? (run.age - run.unchanged) / run.percent : 0;
    return Math.max(
        minimumStallMilliseconds,
        run.estimated * stallFractionOfEstimate / usualSpeed,
        stallFactorOfPace * paceMilliseconds,
    );
}

/**
 * Tells whether the duration of a successful run is normal for a healthy worker.
 *
 * @param ranMilliseconds - duration of the run, in milliseconds
 * @param estimatedMilliseconds - the caller's estimate of the run time, in milliseconds
 * @param usualSpeed - speed that a worker of its kind has without a fault; 1 when unknown
 * @returns false when the worker is probably still slow
 */
export function isHealthyRunTime(ranMilliseconds: number, estimatedMilliseconds: number, usualSpeed: number): boolean {
    return isYoungRun(ranMilliseconds, estimatedMilliseconds, usualSpeed);
}
