/**
 * Load pattern: run times of one kind of task differ several-fold, and a job ends with its longest task. The run time
 * of that task is estimated from recent run times of the route, not from the callers' estimates alone.
 */

/** Number of recent run times that are kept; a few seconds of a typical load. */
const maximumRatios = 256;

/** Number of run times required before they replace the callers' estimate. */
const minimumRatios = 24;

/** Number of new ratios after which the ratios are sorted again. */
const sortInterval = 16;

/** Part of the recent run times that a run time is to cover that hardly any task exceeds. */
const longestKnownQuantile = 0.995;

/** Recent run times of one route, as ratios to the callers' estimates. */
export class RunTimeDistribution {
    private readonly ratios: number[] = [];
    private nextIndex = 0;
    private sorted: readonly number[] = [];
    private ratiosSinceSort = 0;

    /**
     * Records a successful run.
     *
     * @param ranMilliseconds - duration of the run, in milliseconds
     * @param estimatedMilliseconds - the caller's estimate of the run time, in milliseconds
     * @param speed - speed of its worker, so that runs of fast and slow workers give the same figure
     */
    public record(ranMilliseconds: number, estimatedMilliseconds: number, speed = 1): void {
        if (estimatedMilliseconds <= 0) {
            return;
        }
        this.ratios[this.nextIndex] = ranMilliseconds * speed / estimatedMilliseconds;
        this.nextIndex = (this.nextIndex + 1) % maximumRatios;
        this.ratiosSinceSort += 1;
        if (this.ratiosSinceSort >= sortInterval) {
            this.sorted = [...this.ratios].sort((left, right) => left - right);
            this.ratiosSinceSort = 0;
        }
    }

    /**
     * Estimates the run time of the longest task of a job.
     *
     * @param tasks - number of tasks in the job
     * @param estimatedMilliseconds - the caller's estimate of one task's run time, in milliseconds
     * @returns the median of the longest run time among that many tasks, in milliseconds
     */
    public estimateLongestMilliseconds(tasks: number, estimatedMilliseconds: number): number {
        return this.readQuantile(0.5 ** (1 / Math.max(1, tasks)), estimatedMilliseconds);
    }

    /**
     * Estimates a run time that hardly any task exceeds.
     *
     * @param estimatedMilliseconds - the caller's estimate of one task's run time, in milliseconds
     * @returns milliseconds
     */
    public estimateLongestKnownMilliseconds(estimatedMilliseconds: number): number {
        return this.readQuantile(longestKnownQuantile, estimatedMilliseconds);
    }

    private readQuantile(quantile: number, estimatedMilliseconds: number): number {
        if (this.sorted.length < minimumRatios) {
            return estimatedMilliseconds;
        }
        const index = Math.min(this.sorted.length - 1, Math.floor(quantile * this.sorted.length));
        return estimatedMilliseconds * (this.sorted[index] ?? 1);
    }
}
