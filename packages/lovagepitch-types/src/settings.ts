/**
 * Settings of each process, read from JSON with comments.
 */

/** Address, timeout and request rates of the platform's table and object store. */
export interface PlatformSettings {
    readonly url: string;
    readonly requestTimeoutMilliseconds: number;
    /** Average number of writes per second that this process may make. */
    readonly writesPerSecond: number;
    /** Average number of reads per second that this process may make. */
    readonly readsPerSecond: number;
}

/** Settings that entries and agents share. */
export interface PeerSettings {
    readonly address: string;
    readonly port: number;
    readonly availabilityZone: string;
    readonly platform: PlatformSettings;
    /** Key that signs submission ids, the same in every process of a deployment; at least 32 characters. */
    readonly submissionKey: string;
    readonly logLevel: "debug" | "info" | "warn" | "error";
    /** How long an answer or a ledger record is kept for resubmissions, in milliseconds. */
    readonly resubmissionWindowMilliseconds: number;
    readonly manifestPollMilliseconds: number;
    readonly registrationRenewMilliseconds: number;
}

/** Settings of an entry instance. */
export interface EntrySettings extends PeerSettings {
    /** Port for callers, `/healthz`, `/readyz` and `/metrics`. */
    readonly callerPort: number;
    readonly maximumBodyBytes: number;
    readonly maximumWaitingTasks: number;
    readonly maximumAnswerBytes: number;
    readonly policy: PolicySettings;
}

/** Scheduling settings that trade response time against the number of messages. */
export interface PolicySettings {
    readonly startOrder: "oldest-first" | "shortest-remaining";
    /** Number of agents at which an entry with waiting tasks places bids. */
    readonly bids: number;
    /** Largest share of a service's agents that may be ejected because of failures, from 0 to 1. */
    readonly maximumEjectedShare: number;
}

/** Settings of an agent. */
export interface AgentSettings extends PeerSettings {
    /** Port on 127.0.0.1 for the backend server, `/healthz`, `/readyz` and `/metrics`. */
    readonly localPort: number;
    readonly worker: string;
    readonly rack: string;
    readonly cores: number;
    readonly memoryMegabytes: number;
    readonly standByLimit: number;
    readonly maximumLedgerBytes: number;
    /** Time without an announcement of the backend server after which it is marked as silent, in milliseconds. */
    readonly backendServerTimeoutMilliseconds: number;
}

/** Settings of the operator's commands. */
export interface OperatorSettings {
    readonly platform: PlatformSettings;
    readonly entries: readonly string[];
}
