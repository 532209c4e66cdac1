/**
 * Learned run times.
 */

/** Weight of the newest run time. */
const newestWeight = 0.05;
/** Run times that outweigh the declared ones. */
const runTimesToTrust = 20;

/** Moving average of the run times of one work class; declared times count only until enough were seen. */
export class RunTimeEstimator {
    private mean = 0;
    private observations = 0;

    /**
     * Learns a run time.
     *
     * @param milliseconds - time from start to outcome
     */
    public observe(milliseconds: number): void {
        this.observations += 1;
        const weight = Math.max(newestWeight, 1 / this.observations);
        this.mean += weight * (milliseconds - this.mean);
    }

    /**
     * Estimates the run time of a task.
     *
     * @param declaredMilliseconds - what the caller expects
     * @returns milliseconds
     */
    public estimate(declaredMilliseconds: number): number {
        const trust = Math.min(1, this.observations / runTimesToTrust);
        return trust * this.mean + (1 - trust) * declaredMilliseconds;
    }
}
