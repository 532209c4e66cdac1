/**
 * Load pattern: a burst of jobs with many tasks finds room for some of their tasks only. Jobs that are begun and cannot be
 * finished in time waste the room that others need, so a job is begun when all of it can be expected to start in time.
 */

/**
 * The tasks that find no room at once may need this multiple of the time to spare by the measured rate. Above 1, since the
 * rate is that of one entry and room that other entries leave comes on top.
 */
const toleratedWait = 1.5;

/** A job is refused at once when it and the work before it would need this multiple of its time to spare. */
const hopelessWait = 3;

/** How full the workers are. */
export interface LoadView {
    /** Thousandths of a core that are free on permitted workers. */
    readonly freeMilliCores: number;
    /** Thousandths of a core that become free in one millisecond; 0 while it is not known. */
    readonly freedPerMillisecond: number;
    /** Thousandths of a core that jobs before this one wait for. */
    readonly aheadMilliCores: number;
}

/** What to do with a job of which nothing has started. */
export type Admission = "begin" | "wait" | "refuse";

/**
 * Decides whether a job is begun.
 *
 * @param load - how full the workers are
 * @param milliCores - what all its tasks occupy, in thousandths of a core
 * @param timeToSpare - milliseconds until its tasks must have started
 * @returns what to do
 */
export function admitWholeJob(load: LoadView, milliCores: number, timeToSpare: number): Admission {
    const missing = milliCores - load.freeMilliCores;
    if (missing <= 0 || load.freedPerMillisecond <= 0) {
        return "begin";
    }
    if (missing <= toleratedWait * timeToSpare * load.freedPerMillisecond) {
        return "begin";
    }
    const isHopeless = missing + load.aheadMilliCores > hopelessWait * timeToSpare * load.freedPerMillisecond;
    return isHopeless ? "refuse" : "wait";
}
