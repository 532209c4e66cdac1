/**
 * Results of a mixed load by kind and by size of jobs.
 */
import type { JobOutcome } from "./mixedLoad.js";

/** Part of the worth of a job that does not depend on its work. */
const fixedWorth = 0.3;

/** Worth of a job that was done late, as a part of its worth in time. */
const lateWorth = 0.2;

/** Share of the jobs of a kind that count as its largest. */
const largestShare = 0.1;

/** Outcomes of a set of jobs. */
export interface LoadSummary {
    readonly jobs: number;
    /** Shares of the jobs. */
    readonly inTime: number;
    readonly late: number;
    readonly refused: number;
    readonly lost: number;
    /** Worth that was reached, as a part of what all of the jobs are worth. */
    readonly worth: number;
    /** The same, of the largest tenth by work. */
    readonly largestWorth: number;
    /** Time from the arrival to the refusal, in milliseconds; undefined when none was refused. */
    readonly refusedAfterMedian: number | undefined;
    readonly refusedAfter99thPercentile: number | undefined;
}

/**
 * Summarizes jobs of one kind. A job is worth 0.3, and 0.7 times its work against the mean of the kind.
 *
 * @param jobs - outcomes of the jobs of one kind; at least one
 * @returns shares, worth and times to refusals
 */
export function summarizeKind(jobs: readonly JobOutcome[]): LoadSummary {
    const count = (outcome: JobOutcome["outcome"]): number => {
        return jobs.filter(job => job.outcome === outcome).length / jobs.length;
    };
    const meanWork = jobs.reduce((sum, job) => sum + job.workCoreMilliseconds, 0) / jobs.length;
    const bySize = [...jobs].sort((left, right) => right.workCoreMilliseconds - left.workCoreMilliseconds);
    const refusals = jobs.filter(job => job.outcome === "refused")
        .map(job => job.answeredAfterMilliseconds ?? 0).sort((left, right) => left - right);
    return {
        jobs: jobs.length,
        inTime: count("in-time"),
        late: count("late"),
        refused: count("refused"),
        lost: count("lost"),
        worth: computeWorth(jobs, meanWork),
        largestWorth: computeWorth(bySize.slice(0, Math.ceil(jobs.length * largestShare)), meanWork),
        refusedAfterMedian: refusals[Math.floor(refusals.length / 2)],
        refusedAfter99thPercentile: refusals[Math.floor(refusals.length * 0.99)],
    };
}

function computeWorth(jobs: readonly JobOutcome[], meanWork: number): number {
    let reached = 0;
    let possible = 0;
    for (const { outcome, workCoreMilliseconds } of jobs) {
        const worth = fixedWorth + (1 - fixedWorth) * workCoreMilliseconds / meanWork;
        possible += worth;
        reached += outcome === "in-time" ? worth : outcome === "late" ? worth * lateWorth : 0;
    }
    return reached / possible;
}
