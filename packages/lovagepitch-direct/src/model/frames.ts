/**
 * Messages between agents and entries. An agent opens the connection; a frame is one JSON document.
 */
import type { DispatchConfiguration } from "./dispatchConfiguration.js";
import type { Resources } from "./resources.js";
import type { WorkerStatus } from "./workerStatus.js";

/** Names one start of one task. */
export interface RunIdentity {
    readonly job: string;
    /** Position of the task in its job. */
    readonly task: number;
    /** 1 for the first start of the task, rising with each further one. */
    readonly run: number;
}

/** How a run ended. */
export type RunEnd =
    | "succeeded"
    /** The task, or the worker while it ran the task, failed. */
    | "failed"
    /** Stopped on request of its entry. */
    | "stopped"
    /** Its lease ran out, or its worker is gone. */
    | "lost"
    /** It has not begun, and cannot begin any more. */
    | "not-started"
    /** Stopped because it made too little progress. */
    | "stalled"
    /** Stopped because its worker is about to end. */
    | "moved";

/** A run and how it ended. */
export interface EndedRun extends RunIdentity {
    readonly end: RunEnd;
    /** Age of the run at its end, in milliseconds. */
    readonly ranMilliseconds: number;
}

/** How urgent a task is, as far as its entry knew when it sent the order. */
export interface OrderUrgency {
    /** 0 is the most urgent. */
    readonly priority: number;
    /** True when a task of the job runs or has run. */
    readonly isBegun: boolean;
    /** Time until the last instant at which the task can start and its job end on time, in milliseconds. */
    readonly spareMilliseconds: number;
}

/** Order to start a task. */
export interface StartOrder extends RunIdentity {
    readonly service: string;
    readonly specification: string;
    readonly needs: Resources;
    readonly estimatedMilliseconds: number;
    /** How long the order may wait for room at the agent before it is given back. */
    readonly mayWaitMilliseconds: number;
    /** Decides which of the waiting orders is started first. */
    readonly urgency: OrderUrgency;
    readonly maximumPerWorker: number;
    readonly requiredLabel: string | undefined;
}

/** A configuration as it travels between processes. */
export interface ConfigurationNotice {
    readonly version: number;
    /** Present when the receiver is known to have an older version. */
    readonly configuration: DispatchConfiguration | undefined;
}

/** From an agent to an entry. */
export interface AgentFrame {
    /** Names one start of the agent's process. */
    readonly agent: string;
    /** Name of the instance, for the log. */
    readonly instance: string;
    readonly availabilityZone: string;
    /** Steady clock of the agent, in milliseconds; the entry returns the newest one that it has seen. */
    readonly sentAt: number;
    /** Sequence of the newest frame of this entry that is included in what this frame says. */
    readonly includedSequence: number;
    readonly worker: WorkerStatus | undefined;
    readonly ended: readonly EndedRun[];
    /** Every run of this entry that has not ended; only in the first frame of a connection. */
    readonly openRuns: readonly RunIdentity[] | undefined;
    readonly configuration: ConfigurationNotice;
}

/** From an entry to an agent. */
export interface EntryFrame {
    /** Names one start of the entry's process. */
    readonly entry: string;
    /** Rises by one with each frame of a connection. */
    readonly sequence: number;
    /** `sentAt` of the newest frame that the entry has seen of this agent; it renews the lease of the entry's runs. */
    readonly newestSentAt: number;
    readonly starts: readonly StartOrder[];
    readonly stops: readonly RunIdentity[];
    /** Addresses of entries that the agent should connect to. */
    readonly entryAddresses: readonly string[];
    readonly configuration: ConfigurationNotice;
}

/**
 * Makes a text that is unique to a run.
 *
 * @param identity - the run
 * @returns a key for maps
 */
export function formatRunKey(identity: RunIdentity): string {
    return `${identity.job}/${identity.task}/${identity.run}`;
}
