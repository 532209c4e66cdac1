/**
 * Messages between agents and entries. The agent opens the connection; `links/frameStream` encodes the frames.
 */
import type { DispatchConfiguration } from "./dispatchConfiguration.js";
import type { EntryLocation } from "./entryLocation.js";
import type { Resources } from "./resources.js";
import type { WorkerCrash } from "./workerCrash.js";
import type { ReportedCapacity, WorkerStatus } from "./workerStatus.js";
import type { ZoneEvacuations } from "./zoneEvacuations.js";

/** Identifies one run of one task among all runs that one process of an entry orders. */
export interface RunIdentity {
    readonly job: string;
    /** Position of the task in its job. */
    readonly task: number;
    /** 1 for the first run of the task under its submission; increases by one with each further run. */
    readonly run: number;
    /** Number of the submission, unique in the process of the entry; undefined in frames of earlier versions. */
    readonly submission?: number | undefined;
}

/** How a run ended. */
export type RunEnd =
    | "succeeded"
    /** The task, or the worker while it ran the task, failed. */
    | "failed"
    /** Stopped at the request of its entry, or because the lease of its entry expired. */
    | "stopped"
    /** The worker's lease expired, or the worker no longer exists. */
    | "lost"
    /** The run has not started and cannot start any more. */
    | "not-started"
    /** Stopped because it made too little progress. */
    | "stalled"
    /** Stopped because its worker is draining and will end before the run does. */
    | "moved";

/** A run and how it ended. */
export interface EndedRun extends RunIdentity {
    readonly end: RunEnd;
    /** Age of the run at its end, in milliseconds. */
    readonly ranMilliseconds: number;
}

/** Urgency of a task at the time its entry sent the order. */
export interface OrderUrgency {
    /** 0 is the most urgent. */
    readonly priority: number;
    /** True when a task of the job is running or has run. */
    readonly isBegun: boolean;
    /** True when the job's queue gets less than its share; false by default, and in frames of earlier versions. */
    readonly isShort?: boolean;
    /** Time left until the latest start with which the job still ends on time, in milliseconds. */
    readonly spareMilliseconds: number;
}

/** Separation of a task that may crash its worker. */
export type Isolation =
    /** Beside tasks of its own job only. */
    | "job"
    /** Beside other tasks with this isolation only. */
    | "shared";

/** Order to start a task. */
export interface StartOrder extends RunIdentity {
    readonly service: string;
    readonly specification: string;
    readonly needs: Resources;
    readonly estimatedMilliseconds: number;
    /** Time that the order may be queued at the agent before it is returned to the entry. */
    readonly mayWaitMilliseconds: number;
    /** Determines the position among the orders queued at the agent. */
    readonly urgency: OrderUrgency;
    readonly maximumPerWorker: number;
    readonly requiredLabel: string | undefined;
    /** True when the task has stalled on another worker; undefined otherwise, and in frames of earlier versions. */
    readonly hasStalled?: boolean;
    /** Route of the job; undefined in frames of earlier versions. */
    readonly route?: string;
    /** Beside what the task may run; undefined when it may run beside all tasks, and in frames of earlier versions. */
    readonly isolation?: Isolation | undefined;
}

/** Configuration version that the sender knows of, with the configuration itself if the receiver asked for it. */
export interface ConfigurationNotice {
    readonly version: number;
    /** Present when the receiver has asked for it. */
    readonly configuration: DispatchConfiguration | undefined;
    /** True when the sender needs the receiver's newer version; undefined in frames of earlier versions. */
    readonly isRequested?: boolean;
}

/** Frame from an agent to an entry. */
export interface AgentFrame {
    /** Incarnation of the agent's process. */
    readonly agent: string;
    /** Name of the agent's instance, for the log. */
    readonly instance: string;
    readonly availabilityZone: string;
    /**
     * Agent's monotonic clock, in milliseconds; the entry returns the newest value it has received in `newestSentAt`.
     */
    readonly sentAt: number;
    /** Sequence number of the newest frame of this entry that the contents of this frame reflect. */
    readonly includedSequence: number;
    /**
     * Time between the arrival of that frame and the sending of this one, in milliseconds; 0 before the first frame.
     * Undefined in frames of earlier versions.
     */
    readonly includedForMilliseconds?: number;
    readonly worker: WorkerStatus | undefined;
    readonly ended: readonly EndedRun[];
    /** All runs and queued orders of this entry that have not ended; only in the first frame of a connection. */
    readonly openRuns: readonly RunIdentity[] | undefined;
    /**
     * Incarnation of the entry that `ended` and `openRuns` of a first frame refer to; undefined when the agent knows none, and
     * in frames of earlier versions.
     */
    readonly entry?: string | undefined;
    readonly configuration: ConfigurationNotice;
    /** Evacuated zones; only when the agent's state is newer than the one that the entry has named. */
    readonly evacuations?: ZoneEvacuations | undefined;
    /** Crashes of workers that the entry was not sent on this connection. */
    readonly crashes?: readonly WorkerCrash[];
}

/** Frame from an entry to an agent. */
export interface EntryFrame {
    /** Incarnation of the entry's process. */
    readonly entry: string;
    /** Increases by one with each frame of a connection. */
    readonly sequence: number;
    /** `sentAt` of the newest frame received from this agent; it renews the lease of the entry's runs. */
    readonly newestSentAt: number;
    readonly starts: readonly StartOrder[];
    readonly stops: readonly RunIdentity[];
    /** Host and port of all entries that the sender knows; empty when unchanged since an earlier frame. */
    readonly entryAddresses: readonly string[];
    /**
     * Availability zones of `entryAddresses`, in the same order, empty where unknown; undefined in frames of earlier
     * versions.
     */
    readonly entryZones?: readonly string[];
    /** True while tasks wait for capacity, so that the agent reports freed capacity at once. */
    readonly awaitsCapacity?: boolean;
    /** Entries that need the agent's capacity; the agent connects to them too. */
    readonly invitations?: readonly EntryLocation[];
    readonly configuration: ConfigurationNotice;
    /** Evacuated zones; only when the entry's state is newer than the one that the agent has named. */
    readonly evacuations?: ZoneEvacuations | undefined;
    /**
     * Latest capacity that an earlier process of the agent has named, with its report; only while the agent has restored its worker.
     * Earlier versions send a capacity without a report, `workerCapacity`, which is not read.
     */
    readonly reportedCapacity?: ReportedCapacity | undefined;
    /** Crashes of workers that the agent was not sent on this connection. */
    readonly crashes?: readonly WorkerCrash[];
}

/**
 * Formats the map key of a run.
 *
 * @param identity - identity of the run
 * @returns a string that is unique to the run in the process of its entry
 */
export function formatRunKey({ job, task, run, submission }: RunIdentity): string {
    return `${submission ?? ""}/${task}/${run}/${job}`;
}

/**
 * Tells whether a message names a run. A peer of an earlier version names no submission.
 *
 * @param named - identity in the message
 * @param run - the run
 * @returns true when every part of the identity that the message has is that of the run
 */
export function namesRun(named: RunIdentity, run: RunIdentity): boolean {
    const { submission } = named.submission === undefined ? named : run;
    return formatRunKey(named) === formatRunKey({ ...run, submission });
}

/**
 * Selects the fields that identify a run.
 *
 * @param identity - a run with any further fields
 * @returns the identity alone
 */
export function pickRunIdentity({ job, task, run, submission }: RunIdentity): RunIdentity {
    return { job, task, run, ...submission === undefined ? {} : { submission } };
}
