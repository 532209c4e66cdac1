/**
 * Load pattern: workers of several kinds run the same tasks at different speeds. The speed of a worker is learned from
 * its ended runs. Estimates of single jobs are far off and a few tasks take several times as long as estimated, so only
 * the median of many runs counts, and only while these runs agree.
 */

/** Number of recent runs that are kept; some seconds of a typical load. */
const maximumRatios = 128;

/** Number of runs that must agree before a speed is known. */
const minimumRatios = 24;

/** Number of new runs after which the speed is computed again. */
const evaluationInterval = 12;

/** A single run counts within these limits, so that a wrong time or estimate cannot distort the figures. */
const ratioLimits = { lowest: 1 / 16, highest: 16 } as const;

/** A speed beyond these limits is not believed. */
const speedLimits = { lowest: 1 / 5, highest: 5 } as const;

/** Largest ratio of the upper to the lower quartile of runs that agree; about 2 when estimates are off by 0.4. */
const maximumQuartileRatio = 5;

/** Outcome of an evaluation of a worker's runs. */
export type SpeedVerdict = "unknown" | "known" | "distrusted";

/** Speed of one incarnation of a worker, learned by its agent. */
export class RunSpeed {
    private readonly ratios: number[] = [];
    private nextIndex = 0;
    private sinceEvaluation = 0;
    private latestVerdict: SpeedVerdict = "unknown";
    private latestValue: number | undefined;
    private recent: number[] = [];

    /** Estimated run time divided by actual run time, the median of recent runs; undefined unless the runs agree. */
    public get value(): number | undefined {
        return this.latestValue;
    }

    /** Whether a speed is known, or why not. */
    public get verdict(): SpeedVerdict {
        return this.latestVerdict;
    }

    /**
     * Records a successful run.
     *
     * @param ranMilliseconds - duration of the run, in milliseconds
     * @param estimatedMilliseconds - the caller's estimate of the run time, in milliseconds
     */
    public record(ranMilliseconds: number, estimatedMilliseconds: number): void {
        const ratio = estimatedMilliseconds / ranMilliseconds;
        if (!(ratio > 0) || !Number.isFinite(ratio)) {
            return;
        }
        const limited = Math.min(ratioLimits.highest, Math.max(ratioLimits.lowest, ratio));
        this.ratios[this.nextIndex] = limited;
        this.nextIndex = (this.nextIndex + 1) % maximumRatios;
        this.recent.push(limited);
        this.sinceEvaluation += 1;
        if (this.ratios.length >= minimumRatios && this.sinceEvaluation >= evaluationInterval) {
            this.evaluate();
        }
    }

    /**
     * Returns the speeds of the runs that have ended since the previous call.
     *
     * @returns ratios of estimated to actual run time
     */
    public takeRecent(): readonly number[] {
        const recent = this.recent;
        this.recent = [];
        return recent;
    }

    private evaluate(): void {
        this.sinceEvaluation = 0;
        const sorted = [...this.ratios].sort((left, right) => left - right);
        const read = (quantile: number): number => sorted[Math.floor(quantile * (sorted.length - 1))]!;
        const median = read(0.5);
        const isBelievable = median >= speedLimits.lowest && median <= speedLimits.highest
            && read(0.75) <= maximumQuartileRatio * read(0.25);
        this.latestVerdict = isBelievable ? "known" : "distrusted";
        this.latestValue = isBelievable ? Math.round(median * 100) / 100 : undefined;
    }
}
