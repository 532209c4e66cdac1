/**
 * Load pattern: the callers of one entry need more capacity than its agents have, because the balancer sends it many
 * of them or its agents are lost, while agents of other entries are idle. The entry asks others for agents with free
 * capacity. While the whole deployment is full, nothing can be gained, and it asks less and less often.
 */

/** Time for which tasks have to wait before an entry asks others, in milliseconds. */
const minimumWaitMilliseconds = 4;

/** Interval between requests while they bring capacity, in milliseconds; a request is answered within a few. */
const initialIntervalMilliseconds = 20;

/** Longest interval between requests, in milliseconds. */
const maximumIntervalMilliseconds = 320;

/** Waiting tasks per invited agent; a worker has room for a few tasks. */
const tasksPerAgent = 3;

/** Largest number of agents that one request asks for. */
const maximumAgentsPerRequest = 8;

/** Decides when an entry asks others for agents with free capacity, and for how many. */
export class CapacitySearch {
    private waitingSince: number | undefined;
    private lastRequestAt = Number.NEGATIVE_INFINITY;
    private intervalMilliseconds = initialIntervalMilliseconds;
    private hasGained = false;

    /** Records that an agent has connected because of a request. */
    public recordGain(): void {
        this.hasGained = true;
    }

    /**
     * Decides how many agents to ask for now.
     *
     * @param waitingTasks - tasks that cannot be placed on the entry's agents now
     * @param now - current monotonic time, in milliseconds
     * @returns number of agents to ask for; 0 when no request is due
     */
    public countAgentsToRequest(waitingTasks: number, now: number): number {
        if (waitingTasks === 0) {
            this.waitingSince = undefined;
            return 0;
        }
        this.waitingSince ??= now;
        if (this.hasGained) {
            this.hasGained = false;
            this.intervalMilliseconds = initialIntervalMilliseconds;
        }
        const isDue = now - this.waitingSince >= minimumWaitMilliseconds
            && now - this.lastRequestAt >= this.intervalMilliseconds;
        if (!isDue) {
            return 0;
        }
        const isFirstForLong = now - this.lastRequestAt > 2 * maximumIntervalMilliseconds;
        this.intervalMilliseconds = isFirstForLong
            ? initialIntervalMilliseconds
            : Math.min(maximumIntervalMilliseconds, this.intervalMilliseconds * 2);
        this.lastRequestAt = now;
        return Math.min(maximumAgentsPerRequest, Math.ceil(waitingTasks / tasksPerAgent));
    }
}
