/**
 * Everything that an agent's core remembers.
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
    StandingByRow,
    SubmissionRow,
    TaskKey,
    TaskRow,
} from "./rows.js";
import type { SubmissionQueue } from "./submissionQueue.js";

/** Most entries that an agent remembers. */
export const maximumEntries = 1_000;
/** Most bids that an agent remembers. */
export const maximumBids = 4_000;
/** Most keeper incarnations whose low-water mark or start sequence an agent remembers. */
export const maximumKeeperIncarnations = 10_000;

/** Progress of the registration row. */
export interface RegistrationProgress {
    /** Undefined until the row is durable. */
    readonly number: number | undefined;
    readonly isRequested: boolean;
    readonly failures: number;
    /** Instant of the next attempt; undefined when none is due. */
    readonly nextAttemptAtMilliseconds: number | undefined;
}

/** Progress of catching up with a newer configuration. */
export interface ConfigurationProgress {
    /** Newest version that any peer was seen to have. */
    readonly newestKnownVersion: number;
    /** Instant of the last request to a peer. */
    readonly lastRequestAtMilliseconds: number;
    /** Instant at which the platform's table is read; undefined when no reading is due. */
    readonly nextReadAtMilliseconds: number | undefined;
}

/** The tables of an agent. */
export class AgentTables {
    /** State of the process. */
    public agentState: AgentState = "registering";
    /** Instant at which a planned stop began; 0 before. */
    public stopRequestedAtMilliseconds = 0;
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
    public readonly standingBy = new Table<TaskKey, StandingByRow>();
    public readonly submissions = new Table<SubmissionKey, SubmissionRow>();
    /** Submissions in the ledger by keeper; only keepers that have some. */
    public readonly submissionsByKeeper = new Table<Incarnation, SubmissionQueue>();
    /** Highest sequence number of each keeper whose records have left the ledger, in the order in which they rose. */
    public readonly lowWaterMarks = new Table<Incarnation, number>();
    public readonly entries = new Table<PeerAddress, EntryRow>();
    public readonly bids = new Table<PeerScopedKey, BidRow>();
    public readonly offers = new Table<PeerAddress, OfferRow>();
    public readonly deliveries = new Table<PeerScopedKey, DeliveryRow>();
    /** Highest start or recall of each keeper that arrived, in the order in which they rose. */
    public readonly startSequences = new Table<Incarnation, number>();
    /** Instant at which the window is looked at again. */
    public nextEvictionAtMilliseconds = 0;
    public runningTasks = 0;
    public ledgerBytes = 0;

    /**
     * Version of the configuration in force here.
     *
     * @returns 0 before there is one
     */
    public get configurationVersion(): number {
        return this.manifest?.version ?? 0;
    }
}

/**
 * Raises the number kept for a keeper; the keeper whose number has not risen for longest is dropped when there are too
 * many.
 *
 * @param table - numbers by keeper
 * @param keeper - the keeper
 * @param value - the new number
 */
export function raiseKeeperSequence(table: Table<Incarnation, number>, keeper: Incarnation, value: number): void {
    if (value <= (table.get(keeper) ?? 0)) {
        return;
    }
    table.delete(keeper);
    table.set(keeper, value);
    if (table.size <= maximumKeeperIncarnations) {
        return;
    }
    const [oldest] = table.entries();
    if (oldest !== undefined) {
        table.delete(oldest[0]);
    }
}

/**
 * Makes the key of a task.
 *
 * @param submission - the submission
 * @param index - the task's index
 * @returns the key
 */
export function createTaskKey(submission: SubmissionKey, index: number): TaskKey {
    return `${submission}/${index}`;
}

/**
 * Makes the key of something that belongs to a peer.
 *
 * @param address - the peer
 * @param name - a service or a submission
 * @returns the key
 */
export function createPeerScopedKey(address: PeerAddress, name: string): PeerScopedKey {
    return `${address} ${name}`;
}
