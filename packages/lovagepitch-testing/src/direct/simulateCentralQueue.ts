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
const timeStepMilliseconds = 0.5;

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
    const slotFreeTimes = Array.from({ length: load.slots }, () => 0);
    const jobs = load.arrivals.map((arrival): QueuedJob => {
        return { arrival, waiting: [...load.taskDurationsMilliseconds], endsAt: 0 };
    });
    const latestStart = (load.arrivals.at(-1) ?? 0) + load.startLimitMilliseconds;
    const hasStarted = (job: QueuedJob): boolean => job.waiting.length < load.taskDurationsMilliseconds.length;
    const canStart = (job: QueuedJob, now: number): boolean => {
        return job.waiting.length > 0 && job.arrival <= now
            && (hasStarted(job) || now <= job.arrival + load.startLimitMilliseconds);
    };
    const latestEnd = latestStart + load.taskDurationsMilliseconds.reduce((sum, milliseconds) => sum + milliseconds, 0);
    for (let now = 0; now <= latestEnd; now += timeStepMilliseconds) {
        for (const [slot, freeTime] of slotFreeTimes.entries()) {
            const next = freeTime > now
                ? undefined
                : jobs.find(job => hasStarted(job) && canStart(job, now)) ?? jobs.find(job => canStart(job, now));
            const taskMilliseconds = next?.waiting.shift();
            if (next !== undefined && taskMilliseconds !== undefined) {
                slotFreeTimes[slot] = now + taskMilliseconds;
                next.endsAt = Math.max(next.endsAt, now + taskMilliseconds);
            }
        }
    }
    return jobs.filter(job => job.waiting.length === 0).map(job => job.endsAt - job.arrival);
}
