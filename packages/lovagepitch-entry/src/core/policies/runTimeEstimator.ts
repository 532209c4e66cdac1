/**
 * Estimates run times from observed ones.
 */

/** Number of observed run times that are kept. */
const maximumSamples = 512;
/** Number of observed run times from which on declared ones are ignored. */
const samplesForFullWeight = 32;
/** Number of new run times after which the samples are sorted again. */
const samplesPerSort = 32;
/** Accepted probability that the longest task of a job takes longer than estimated. */
const acceptedOverrunProbability = 0.1;

/** Keeps the latest run times of one work class; declared run times count only until enough were observed. */
export class RunTimeEstimator {
    private readonly samples: number[] = [];
    private sortedSamples: readonly number[] = [];
    private observedSamples = 0;
    private sum = 0;

    /**
     * Adds an observed run time.
     *
     * @param milliseconds - time from the sending of the start to the outcome
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
     * @param declaredMilliseconds - run time that the caller declared
     * @returns estimated run time in milliseconds
     */
    public estimateMeanMilliseconds(declaredMilliseconds: number): number {
        const mean = this.sum / Math.max(1, this.samples.length);
        return this.blendWithDeclared(mean, declaredMilliseconds);
    }

    /**
     * Estimates the run time of a job's longest task, with a low probability that it takes longer.
     *
     * @param tasks - number of tasks in the job
     * @param declaredMilliseconds - longest run time that the caller declared
     * @returns estimated run time in milliseconds
     */
    public estimateLongestMilliseconds(tasks: number, declaredMilliseconds: number): number {
        const quantile = Math.pow(1 - acceptedOverrunProbability, 1 / tasks);
        const position = Math.min(this.sortedSamples.length - 1, Math.floor(quantile * this.sortedSamples.length));
        return this.blendWithDeclared(this.sortedSamples[position] ?? 0, declaredMilliseconds);
    }

    private blendWithDeclared(observedMilliseconds: number, declaredMilliseconds: number): number {
        const weight = this.sortedSamples.length === 0 ? 0 : Math.min(1, this.observedSamples / samplesForFullWeight);
        return weight * observedMilliseconds + (1 - weight) * declaredMilliseconds;
    }
}
