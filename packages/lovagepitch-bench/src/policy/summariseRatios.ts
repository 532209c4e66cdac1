/**
 * Ratios of response time to ideal response time, which is the run time of the longest task plus the network latency.
 */
import { build, type Histogram } from "hdr-histogram-js";
import { type BenchJob, findLongestTaskMilliseconds } from "../workload/benchJob.js";

/** Resolution of recorded ratios: histogram steps per unit. */
const stepsPerUnit = 10_000;

/** Summary of the ratios of all completed jobs of a run. */
export interface RatioSummary {
    readonly mean: number;
    readonly median: number;
    readonly percentile99: number;
    readonly jobCount: number;
}

/**
 * Summarises the ratios of response time to ideal response time.
 *
 * @param jobs - jobs of the run
 * @param responses - response time of each job in milliseconds; jobs without one are left out
 * @param networkMilliseconds - network latency that every policy incurs, in milliseconds
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
        const ratio = response / (findLongestTaskMilliseconds(job) + networkMilliseconds);
        histogram.recordValue(Math.max(1, Math.round(ratio * stepsPerUnit)));
        sum += ratio;
        count += 1;
    });
    return {
        mean: sum / Math.max(1, count),
        median: histogram.getValueAtPercentile(50) / stepsPerUnit,
        percentile99: histogram.getValueAtPercentile(99) / stepsPerUnit,
        jobCount: count,
    };
}
