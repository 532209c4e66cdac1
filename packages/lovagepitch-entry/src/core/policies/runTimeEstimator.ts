/**
 * Learned run times.
 */

/** Run times that are remembered. */
const remembered = 512;
/** Run times that outweigh the declared ones. */
const runTimesToTrust = 32;
/** New run times after which the remembered ones are sorted again. */
const sortInterval = 32;
/** Chance that the longest task of a job takes longer than estimated. */
const acceptedRisk = 0.1;

/** The latest run times of one work class; declared times count only until enough were seen. */
export class RunTimeEstimator {
    private readonly latest: number[] = [];
    private sorted: readonly number[] = [];
    private observations = 0;
    private sum = 0;

    /**
     * Learns a run time.
     *
     * @param milliseconds - time from start to outcome
     */
    public observe(milliseconds: number): void {
        const position = this.observations % remembered;
        this.sum += milliseconds - (this.latest[position] ?? 0);
        this.latest[position] = milliseconds;
        this.observations += 1;
        if (this.observations % sortInterval === 0) {
            this.sorted = [...this.latest].sort((left, right) => left - right);
        }
    }

    /**
     * Estimates the mean run time of a task.
     *
     * @param declaredMilliseconds - what the caller expects
     * @returns milliseconds
     */
    public estimate(declaredMilliseconds: number): number {
        const mean = this.sum / Math.max(1, this.latest.length);
        return this.weigh(mean, declaredMilliseconds);
    }

    /**
     * Estimates the run time of a job's longest task, with little risk that it takes longer.
     *
     * @param tasks - number of tasks
     * @param declaredMilliseconds - the longest that the caller expects
     * @returns milliseconds
     */
    public estimateLongest(tasks: number, declaredMilliseconds: number): number {
        const share = Math.pow(1 - acceptedRisk, 1 / tasks);
        const position = Math.min(this.sorted.length - 1, Math.floor(share * this.sorted.length));
        return this.weigh(this.sorted[position] ?? 0, declaredMilliseconds);
    }

    private weigh(learned: number, declared: number): number {
        const trust = this.sorted.length === 0 ? 0 : Math.min(1, this.observations / runTimesToTrust);
        return trust * learned + (1 - trust) * declared;
    }
}
