/**
 * Times from arrival to answer of a group of jobs.
 */
import { build, type Histogram } from "hdr-histogram-js";

const medianPercentile = 50;
const highPercentile = 99;

/** Quantiles of recorded times. */
export interface AnswerTimeSummary {
    readonly count: number;
    readonly medianMilliseconds: number;
    readonly percentile99Milliseconds: number;
}

/** Histogram of times; its memory does not grow with their number. */
export class AnswerTimes {
    private readonly histogram: Histogram = build({ numberOfSignificantValueDigits: 3 });

    /**
     * Records a time.
     *
     * @param milliseconds - time from arrival to answer, in milliseconds
     */
    public record(milliseconds: number): void {
        this.histogram.recordValue(Math.max(0, Math.round(milliseconds)));
    }

    /**
     * Summarises the recorded times.
     *
     * @returns number of times, median and 99th percentile; both 0 without any time
     */
    public summarise(): AnswerTimeSummary {
        return {
            count: this.histogram.totalCount,
            medianMilliseconds: this.histogram.getValueAtPercentile(medianPercentile),
            percentile99Milliseconds: this.histogram.getValueAtPercentile(highPercentile),
        };
    }
}
