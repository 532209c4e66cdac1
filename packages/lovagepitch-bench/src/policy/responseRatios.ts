/**
 * Response over ideal: how much longer a caller waits than the longest task and the network alone would take.
 */
import { build, type Histogram } from "hdr-histogram-js";
import { type BenchJob, findLongestTask } from "../workload/benchJob.js";

/** Steps of one unit in which ratios are recorded. */
const stepsPerUnit = 10_000;

/** Summary of the ratios of one run. */
export interface RatioSummary {
    readonly mean: number;
    readonly median: number;
    readonly ninetyNinth: number;
    readonly jobs: number;
}

/**
 * Summarises responses over ideal.
 *
 * @param jobs - the jobs
 * @param responses - their responses in milliseconds; undefined ones are left out
 * @param networkMilliseconds - network time that every dispatcher pays
 * @returns mean, median and 99th percentile of the ratios
 */
export function summariseRatios(
    jobs: readonly BenchJob[],
    responses: readonly (number | undefined)[],
    networkMilliseconds: number,
): RatioSummary {
    const histogram: Histogram = build({ numberOfSignificantValueDigits: 4 });
    let sum = 0;
    let count = 0;
    jobs.forEach((job, position) => {
        const response = responses[position];
        if (response === undefined) {
            return;
        }
        const ratio = response / (findLongestTask(job) + networkMilliseconds);
        histogram.recordValue(Math.max(1, Math.round(ratio * stepsPerUnit)));
        sum += ratio;
        count += 1;
    });
    return {
        mean: sum / Math.max(1, count),
        median: histogram.getValueAtPercentile(50) / stepsPerUnit,
        ninetyNinth: histogram.getValueAtPercentile(99) / stepsPerUnit,
        jobs: count,
    };
}
