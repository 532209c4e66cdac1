/**
 * State of an agent's core.
 */
import type { Incarnation, PeerAddress, SubmissionKey } from "@lovagepitch/types/identity";
import type { VersionedManifest } from "@lovagepitch/types/manifest";
import { Table } from "@lovagepitch/utils/table";
import type { AgentState } from "../lifecycles/agentLifecycle.js";
import type {
    BackendServerRow,
    BidRow,
    DeliveryRow,
    EntryRow,
    OfferRow,
    PeerScopedKey,
    QueuedTaskRow,
    SubmissionRow,
    TaskKey,
    TaskRow,
} from "./rows.js";
import type { SubmissionQueue } from "./submissionQueue.js";

/** Most entries that an agent keeps rows for. */
export const maximumEntries = 1_000;
/** Most bids that an agent stores. */
export const maximumBids = 4_000;
/** Most owner incarnations that an agent stores a low-water mark or a start sequence for. */
export const maximumOwnerIncarnations = 10_000;

/** Progress of writing the registration row. */
export interface RegistrationProgress {
    /** Number of the registration row; undefined until the row is durable. */
    readonly number: number | undefined;
    readonly isRequested: boolean;
    readonly failures: number;
    /** Time of the next attempt, in milliseconds since the epoch; undefined when none is scheduled. */
    readonly nextAttemptAtMilliseconds: number | undefined;
}

/** Progress of fetching a newer configuration. */
export interface ConfigurationProgress {
    /** Highest configuration version that a peer has reported. */
    readonly newestKnownVersion: number;
    /** Time of the last manifest request to a peer, in milliseconds since the epoch. */
    readonly lastRequestAtMilliseconds: number;
    /** Time of the next read of the platform's table, in milliseconds since the epoch; undefined for none. */
    readonly nextReadAtMilliseconds: number | undefined;
}

/** The state of an agent's core, which changes only during a tick. */
export class AgentTables {
    /** Lifecycle state of the agent process. */
    public agentState: AgentState = "registering";
    /** Time at which a graceful shutdown began, in milliseconds since the epoch; 0 before. */
    public shutdownRequestedAtMilliseconds = 0;
    public registration: RegistrationProgress = {
        number: undefined,
        isRequested: false,
        failures: 0,
        nextAttemptAtMilliseconds: undefined,
    };
    public configuration: ConfigurationProgress = {
        newestKnownVersion: 0,
        lastRequestAtMilliseconds: 0,
        nextReadAtMilliseconds: undefined,
    };
    public manifest: VersionedManifest | undefined;
    public backendServer: BackendServerRow | undefined;
    public readonly tasks = new Table<TaskKey, TaskRow>();
    public readonly queuedTasks = new Table<TaskKey, QueuedTaskRow>();
    public readonly submissions = new Table<SubmissionKey, SubmissionRow>();
    /** Submissions in the ledger by owner; owners without submissions have no queue. */
    public readonly submissionsByOwner = new Table<Incarnation, SubmissionQueue>();
    /**
     * Low-water marks: the highest submission sequence of each owner that was evicted from the ledger, ordered by the
     * time of the last increase, oldest first.
     */
    public readonly lowWaterMarks = new Table<Incarnation, number>();
    public readonly entries = new Table<PeerAddress, EntryRow>();
    /** True once the registry's entries have been read; it is read after the registration. */
    public hasReadEntries = false;
    public readonly bids = new Table<PeerScopedKey, BidRow>();
    public readonly offers = new Table<PeerAddress, OfferRow>();
    public readonly deliveries = new Table<PeerScopedKey, DeliveryRow>();
    /**
     * Highest sequence of a start or recall that was received from each owner, ordered by the time of the last
     * increase, oldest first.
     */
    public readonly startSequences = new Table<Incarnation, number>();
    /** Time of the next check for expired submissions, in milliseconds since the epoch. */
    public nextEvictionAtMilliseconds = 0;
    public runningTasks = 0;
    public ledgerBytes = 0;

    /**
     * Version of the manifest in force at this agent.
     *
     * @returns the version; 0 without a manifest
     */
    public get configurationVersion(): number {
        return this.manifest?.version ?? 0;
    }
}

/**
 * Raises the sequence that is stored for an owner; a lower or equal value has no effect. When the table exceeds
 * `maximumOwnerIncarnations`, the owner whose sequence has not risen for the longest time is removed.
 *
 * @param table - sequences by owner, ordered by the time of the last increase, oldest first
 * @param owner - incarnation of the entry that owns the submissions
 * @param value - the sequence to store
 */
export function raiseOwnerSequence(table: Table<Incarnation, number>, owner: Incarnation, value: number): void {
    if (value <= (table.get(owner) ?? 0)) {
        return;
    }
    table.delete(owner);
    table.set(owner, value);
    if (table.size <= maximumOwnerIncarnations) {
        return;
    }
    const [oldest] = table.entries();
    if (oldest !== undefined) {
        table.delete(oldest[0]);
    }
}

/**
 * Creates the key of a task.
 *
 * @param submission - id of the submission
 * @param index - index of the task in the submission
 * @returns the key of the task's rows
 */
export function createTaskKey(submission: SubmissionKey, index: number): TaskKey {
    return `${submission}/${index}`;
}

/**
 * Creates the key of a row that belongs to a peer.
 *
 * @param address - address of the peer
 * @param name - service or submission id that identifies the row among those of the peer
 * @returns the key of the bid or delivery
 */
export function createPeerScopedKey(address: PeerAddress, name: string): PeerScopedKey {
    return `${address} ${name}`;
}
