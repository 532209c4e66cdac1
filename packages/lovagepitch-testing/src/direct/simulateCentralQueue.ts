/**
 * What one queue without messages would reach: a freed place is filled at once, in the order of arrival.
 */

/** Load and capacity. */
export interface QueueLoad {
    /** Instants at which jobs arrive, in milliseconds, rising. */
    readonly arrivals: readonly number[];
    /** Run time of each task of a job, in milliseconds. */
    readonly taskDurationsMilliseconds: readonly number[];
    /** Tasks that can run at a time. */
    readonly slots: number;
    /** Time after its arrival within which a job has to begin, in milliseconds. */
    readonly startLimitMilliseconds: number;
}

/** Step of the clock, in milliseconds: the finest distance of arrivals in the tests. */
const stepMilliseconds = 0.5;

interface QueuedJob {
    readonly arrival: number;
    readonly waiting: number[];
    endsAt: number;
}

/**
 * Plays a load.
 *
 * @param load - the load
 * @returns response times of the jobs that were done, in milliseconds
 */
export function simulateCentralQueue(load: QueueLoad): readonly number[] {
    const freeFrom = Array.from({ length: load.slots }, () => 0);
    const jobs = load.arrivals.map((arrival): QueuedJob => {
        return { arrival, waiting: [...load.taskDurationsMilliseconds], endsAt: 0 };
    });
    const lastBegin = (load.arrivals.at(-1) ?? 0) + load.startLimitMilliseconds;
    const isBegun = (job: QueuedJob): boolean => job.waiting.length < load.taskDurationsMilliseconds.length;
    const mayStart = (job: QueuedJob, now: number): boolean => {
        return job.waiting.length > 0 && job.arrival <= now
            && (isBegun(job) || now <= job.arrival + load.startLimitMilliseconds);
    };
    const lastEnd = lastBegin + load.taskDurationsMilliseconds.reduce((sum, milliseconds) => sum + milliseconds, 0);
    for (let now = 0; now <= lastEnd; now += stepMilliseconds) {
        for (const [place, from] of freeFrom.entries()) {
            const next = from > now
                ? undefined
                : jobs.find(job => isBegun(job) && mayStart(job, now)) ?? jobs.find(job => mayStart(job, now));
            const milliseconds = next?.waiting.shift();
            if (next !== undefined && milliseconds !== undefined) {
                freeFrom[place] = now + milliseconds;
                next.endsAt = Math.max(next.endsAt, now + milliseconds);
            }
        }
    }
    return jobs.filter(job => job.waiting.length === 0).map(job => job.endsAt - job.arrival);
}
