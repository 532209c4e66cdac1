/**
 * Settings of a simulated deployment: processes, their placement, latencies and intervals.
 */
import type { PolicySettings } from "@lovagepitch/types/settings";

/** Placement of an entry. */
export interface EntryPlacement {
    readonly availabilityZone: string;
}

/** Placement and capacity of an agent and its backend server. */
export interface AgentPlacement {
    readonly worker: string;
    readonly rack: string;
    readonly availabilityZone: string;
    readonly cores: number;
    readonly memoryMegabytes: number;
    readonly slots: number;
    readonly connections: number;
    readonly services: readonly string[];
}

/** One-way network latencies, response times of the platform and timeouts, in milliseconds. */
export interface Latencies {
    readonly withinZone: number;
    readonly betweenZones: number;
    readonly caller: number;
    readonly backendServer: number;
    readonly platformRead: number;
    readonly platformWrite: number;
    /** Time after which a request to the platform fails without an answer. */
    readonly platformTimeout: number;
    /** Time after which a connection that carries no data counts as broken. */
    readonly connectionTimeout: number;
}

/** Intervals of the periodic operations of the processes, in milliseconds. */
export interface Intervals {
    readonly manifestPoll: number;
    readonly registryPoll: number;
    readonly registrationRenew: number;
    readonly backendServerAnnouncement: number;
}

/** Settings of a simulated deployment. */
export interface DeploymentSettings {
    /** Seed of the random source; runs with the same seed are identical. */
    readonly seed: number;
    readonly startMilliseconds: number;
    readonly entries: readonly EntryPlacement[];
    readonly agents: readonly AgentPlacement[];
    readonly latencies: Latencies;
    readonly intervals: Intervals;
    readonly submissionKey: string;
    readonly resubmissionWindowMilliseconds: number;
    readonly maximumWaitingTasks: number;
    readonly maximumAnswerBytes: number;
    readonly maximumLedgerBytes: number;
    readonly backendServerTimeoutMilliseconds: number;
    readonly standByLimit: number;
    readonly policy: PolicySettings;
}

const bytesPerMegabyte = 1_048_576;
const tenMinutesInMilliseconds = 600_000;

/** Latencies of the co-operative's platform. The clearing association's platform differs in two of them. */
export const cooperativeLatencies: Latencies = {
    withinZone: 0.2,
    betweenZones: 1.5,
    caller: 3,
    backendServer: 0.1,
    platformRead: 2,
    platformWrite: 6,
    platformTimeout: 1000,
    connectionTimeout: 400,
};

/** Latencies of the clearing association's platform. */
export const associationLatencies: Latencies = { ...cooperativeLatencies, betweenZones: 1, caller: 1 };

/** Default settings; a scenario overrides the fields that matter to it. */
export const defaultDeployment: DeploymentSettings = {
    seed: 1,
    startMilliseconds: 1_800_000_000_000,
    entries: [{ availabilityZone: "kolonnawa" }, { availabilityZone: "dehiwala" }],
    agents: [
        createAgentPlacement("worker-1", "rack-1", "kolonnawa"),
        createAgentPlacement("worker-2", "rack-2", "dehiwala"),
    ],
    latencies: cooperativeLatencies,
    intervals: {
        manifestPoll: 2000,
        registryPoll: 5000,
        registrationRenew: 20_000,
        backendServerAnnouncement: 1000,
    },
    submissionKey: "a key for tests of at least thirty-two characters",
    resubmissionWindowMilliseconds: tenMinutesInMilliseconds,
    maximumWaitingTasks: 100_000,
    maximumAnswerBytes: 64 * bytesPerMegabyte,
    maximumLedgerBytes: 16 * bytesPerMegabyte,
    backendServerTimeoutMilliseconds: 4000,
    standByLimit: 2,
    policy: { startOrder: "oldest-first", bids: 4, maximumEjectedShare: 0.5 },
};

/**
 * Creates the placement of an agent on a worker of the size that the requirements state.
 *
 * @param worker - name of the worker
 * @param rack - rack of the worker
 * @param availabilityZone - availability zone of the worker
 * @returns the placement
 */
export function createAgentPlacement(worker: string, rack: string, availabilityZone: string): AgentPlacement {
    return {
        worker,
        rack,
        availabilityZone,
        cores: 16,
        memoryMegabytes: 32_768,
        slots: 8,
        connections: 64,
        services: ["alerts"],
    };
}
