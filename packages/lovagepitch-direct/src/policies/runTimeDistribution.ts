/**
 * Load pattern: tasks of one kind differ by several times, and a job ends with its longest one. What the longest of a job
 * takes is learned from the run times of its route, not taken from the callers' estimates alone.
 */

/** Latest run times that are kept; a few seconds of a usual load. */
const maximumRatios = 256;

/** Run times that must be known before they replace the estimate. */
const minimumRatios = 24;

/** The ratios are sorted again after this many new ones. */
const sortInterval = 16;

/** Run times of one route, relative to the callers' estimates. */
export class RunTimeDistribution {
    private readonly ratios: number[] = [];
    private nextIndex = 0;
    private sorted: readonly number[] = [];
    private ratiosSinceSort = 0;

    /**
     * Notes a run that succeeded.
     *
     * @param ranMilliseconds - how long it took
     * @param estimated - the caller's estimate, in milliseconds
     */
    public record(ranMilliseconds: number, estimated: number): void {
        if (estimated <= 0) {
            return;
        }
        this.ratios[this.nextIndex] = ranMilliseconds / estimated;
        this.nextIndex = (this.nextIndex + 1) % maximumRatios;
        this.ratiosSinceSort += 1;
        if (this.ratiosSinceSort >= sortInterval) {
            this.sorted = [...this.ratios].sort((left, right) => left - right);
            this.ratiosSinceSort = 0;
        }
    }

    /**
     * Expects the run time of the longest task of a job.
     *
     * @param tasks - number of its tasks
     * @param estimated - the caller's estimate, in milliseconds
     * @returns the median of the longest of so many, in milliseconds
     */
    public estimateLongestMilliseconds(tasks: number, estimated: number): number {
        if (this.sorted.length < minimumRatios) {
            return estimated;
        }
        const quantile = 0.5 ** (1 / Math.max(1, tasks));
        const index = Math.min(this.sorted.length - 1, Math.floor(quantile * this.sorted.length));
        return estimated * (this.sorted[index] ?? 1);
    }
}
