/**
 * What the slopes of small deployments come to at the size of a large one.
 */
import type { TargetDeployment } from "./targetDeployment.js";

const microsecondsPerSecond = 1_000_000;
const millisecondsPerSecond = 1_000;

/** What one task may cost the node that runs it. */
export interface TaskBudget {
    readonly startsPerSecond: number;
    readonly microseconds: number;
    readonly bytes: number;
}

/** Requests a second at the platform's table. */
export interface PlatformRates {
    readonly reads: number;
    readonly writes: number;
    /** Bytes a second of registry listings. */
    readonly listingBytes: number;
}

/** Intervals of the settings and sizes of rows that the rates at the platform follow from. */
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
 * Divides a node's control budgets among the tasks that start there.
 *
 * @param target - the deployment
 * @returns the budget of one task
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
 * Counts the entries that a rate of starts needs.
 *
 * @param startsPerSecond - the rate
 * @param microsecondsPerStart - processor time of an entry for one start
 * @param largestShare - share of a core that an entry may use, from 0 to 1
 * @returns whole entries
 */
export function countNeededEntries(
    startsPerSecond: number,
    microsecondsPerStart: number,
    largestShare: number,
): number {
    return Math.ceil(startsPerSecond * microsecondsPerStart / microsecondsPerSecond / largestShare);
}

/**
 * Adds up the requests that all processes make by themselves.
 *
 * @param load - numbers of processes, and their intervals
 * @returns requests and bytes a second
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
 * Counts the seal messages of a sweep, requests and reports together, when each submission is asked about on its own.
 *
 * @param agents - agents that are asked
 * @param submissions - submissions of the dead entry that callers ask for
 * @returns messages
 */
export function countSweepMessages(agents: number, submissions: number): number {
    return 2 * agents * submissions;
}
