/**
 * Simulation of a single central queue without message latency, as a baseline for the tests. A free slot is filled at
 * once: tasks of started jobs come first, then the jobs in the order of their arrival.
 */

/** Load and capacity. */
export interface QueueLoad {
    /** Arrival times of the jobs, in milliseconds, ascending. */
    readonly arrivals: readonly number[];
    /** Run time of each task of a job, in milliseconds. */
    readonly taskDurationsMilliseconds: readonly number[];
    /** Tasks that can run at a time. */
    readonly slots: number;
    /** Time after its arrival within which the first task of a job must start, in milliseconds. */
    readonly startLimitMilliseconds: number;
}

/** Step of the simulated clock, in milliseconds; the shortest interval between arrivals in the tests. */
const stepMilliseconds = 0.5;

interface QueuedJob {
    readonly arrival: number;
    /** Durations of the tasks that have not started, in milliseconds. */
    readonly waiting: number[];
    /** End of the last task that has started. */
    endsAt: number;
}

/**
 * Simulates a load.
 *
 * @param load - arrivals, task durations and capacity
 * @returns response times of the jobs that were done, in milliseconds
 */
export function simulateCentralQueue(load: QueueLoad): readonly number[] {
    const freeFrom = Array.from({ length: load.slots }, () => 0);
    const jobs = load.arrivals.map((arrival): QueuedJob => {
        return { arrival, waiting: [...load.taskDurationsMilliseconds], endsAt: 0 };
    });
    const latestStart = (load.arrivals.at(-1) ?? 0) + load.startLimitMilliseconds;
    const hasStarted = (job: QueuedJob): boolean => job.waiting.length < load.taskDurationsMilliseconds.length;
    const mayStart = (job: QueuedJob, now: number): boolean => {
        return job.waiting.length > 0 && job.arrival <= now
            && (hasStarted(job) || now <= job.arrival + load.startLimitMilliseconds);
    };
    const lastEnd = latestStart + load.taskDurationsMilliseconds.reduce((sum, milliseconds) => sum + milliseconds, 0);
    for (let now = 0; now <= lastEnd; now += stepMilliseconds) {
        for (const [slot, from] of freeFrom.entries()) {
            const next = from > now
                ? undefined
                : jobs.find(job => hasStarted(job) && mayStart(job, now)) ?? jobs.find(job => mayStart(job, now));
            const taskMilliseconds = next?.waiting.shift();
            if (next !== undefined && taskMilliseconds !== undefined) {
                freeFrom[slot] = now + taskMilliseconds;
                next.endsAt = Math.max(next.endsAt, now + taskMilliseconds);
            }
        }
    }
    return jobs.filter(job => job.waiting.length === 0).map(job => job.endsAt - job.arrival);
}
