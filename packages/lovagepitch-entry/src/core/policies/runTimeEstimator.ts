/**
 * Learned run times.
 */

/** Run times that are remembered. */
const maximumSamples = 512;
/** Run times that outweigh the declared ones. */
const samplesForFullWeight = 32;
/** New run times after which the remembered ones are sorted again. */
const samplesPerSort = 32;
/** Chance that the longest task of a job takes longer than estimated. */
const acceptedOverrunProbability = 0.1;

/** The latest run times of one work class; declared times count only until enough were seen. */
export class RunTimeEstimator {
    private readonly samples: number[] = [];
    private sortedSamples: readonly number[] = [];
    private observedSamples = 0;
    private sum = 0;

    /**
     * Learns a run time.
     *
     * @param milliseconds - time from start to outcome
     */
    public observe(milliseconds: number): void {
        const position = this.observedSamples % maximumSamples;
        this.sum += milliseconds - (this.samples[position] ?? 0);
        this.samples[position] = milliseconds;
        this.observedSamples += 1;
        if (this.observedSamples % samplesPerSort === 0) {
            this.sortedSamples = [...this.samples].sort((left, right) => left - right);
        }
    }

    /**
     * Estimates the mean run time of a task.
     *
     * @param declaredMilliseconds - what the caller expects
     * @returns milliseconds
     */
    public estimateMean(declaredMilliseconds: number): number {
        const mean = this.sum / Math.max(1, this.samples.length);
        return this.blendWithDeclared(mean, declaredMilliseconds);
    }

    /**
     * Estimates the run time of a job's longest task, with little risk that it takes longer.
     *
     * @param tasks - number of tasks
     * @param declaredMilliseconds - the longest that the caller expects
     * @returns milliseconds
     */
    public estimateLongest(tasks: number, declaredMilliseconds: number): number {
        const quantile = Math.pow(1 - acceptedOverrunProbability, 1 / tasks);
        const position = Math.min(this.sortedSamples.length - 1, Math.floor(quantile * this.sortedSamples.length));
        return this.blendWithDeclared(this.sortedSamples[position] ?? 0, declaredMilliseconds);
    }

    private blendWithDeclared(learned: number, declared: number): number {
        const weight = this.sortedSamples.length === 0 ? 0 : Math.min(1, this.observedSamples / samplesForFullWeight);
        return weight * learned + (1 - weight) * declared;
    }
}
