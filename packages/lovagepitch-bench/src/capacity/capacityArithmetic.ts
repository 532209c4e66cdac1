/**
 * Extrapolates the costs measured in small deployments to a large one.
 */
import type { TargetDeployment } from "./targetDeployment.js";

const microsecondsPerSecond = 1_000_000;
const millisecondsPerSecond = 1_000;

/** Budget of one task start at the node that runs the task. */
export interface TaskBudget {
    readonly startsPerSecond: number;
    readonly microseconds: number;
    readonly bytes: number;
}

/** Requests per second at the platform's table. */
export interface PlatformRates {
    readonly reads: number;
    readonly writes: number;
    /** Bytes per second of registry listings. */
    readonly listingBytes: number;
}

/** Numbers of processes, poll and renewal intervals, and row size that determine the platform's load. */
export interface PlatformLoad {
    readonly agents: number;
    readonly entries: number;
    readonly agentManifestPollMilliseconds: number;
    readonly agentRenewMilliseconds: number;
    readonly entryManifestPollMilliseconds: number;
    readonly entryRenewMilliseconds: number;
    readonly registryPollMilliseconds: number;
    readonly listingBytesPerAgent: number;
}

/**
 * Divides a node's control budgets by the rate of task starts at the node.
 *
 * @param target - sizes, rates and budgets of the deployment
 * @returns the budget of one task start
 */
export function computeTaskBudget(target: TargetDeployment): TaskBudget {
    const startsPerSecond = target.startsPerSecond / target.agents;
    return {
        startsPerSecond,
        microseconds: target.controlCoreShare * microsecondsPerSecond / startsPerSecond,
        bytes: target.controlBytesPerSecond / startsPerSecond,
    };
}

/**
 * Computes the number of entries required for a rate of task starts.
 *
 * @param startsPerSecond - task starts per second in the deployment
 * @param microsecondsPerStart - processor time of an entry per task start, in microseconds
 * @param maximumCoreShare - maximum utilisation of one core by an entry, from 0 to 1
 * @returns number of entries, rounded up
 */
export function countRequiredEntries(
    startsPerSecond: number,
    microsecondsPerStart: number,
    maximumCoreShare: number,
): number {
    return Math.ceil(startsPerSecond * microsecondsPerStart / microsecondsPerSecond / maximumCoreShare);
}

/**
 * Sums up the periodic requests of all processes to the platform.
 *
 * @param load - numbers of processes and their intervals
 * @returns requests and bytes per second
 */
export function computePlatformRates(load: PlatformLoad): PlatformRates {
    const listings = load.entries * millisecondsPerSecond / load.registryPollMilliseconds;
    return {
        reads: load.agents * millisecondsPerSecond / load.agentManifestPollMilliseconds
            + load.entries * millisecondsPerSecond / load.entryManifestPollMilliseconds
            + listings,
        writes: load.agents * millisecondsPerSecond / load.agentRenewMilliseconds
            + load.entries * millisecondsPerSecond / load.entryRenewMilliseconds,
        listingBytes: listings * load.agents * load.listingBytesPerAgent,
    };
}

/**
 * Computes the number of seal messages of a sweep, requests and reports together, when each submission is sealed with
 * a message of its own.
 *
 * @param agents - number of agents that receive the requests
 * @param submissions - number of submissions of the failed entry that callers resubmit
 * @returns number of messages
 */
export function countSweepMessages(agents: number, submissions: number): number {
    return 2 * agents * submissions;
}
