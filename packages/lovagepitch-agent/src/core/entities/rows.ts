/**
 * Rows of the tables in an agent's core.
 */
import type { Incarnation, PeerAddress, PeerIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { JsonValue } from "@lovagepitch/types/job";
import type { TaskRefusal } from "@lovagepitch/types/peerMessage";
import type { BackendServerAnnouncement } from "@lovagepitch/types/registry";
import type { TaskState } from "../lifecycles/taskLifecycle.js";

/** Key of a task: its submission id and its index. */
export type TaskKey = string;

/** Key of a row that belongs to a peer: the peer's address and a service or submission id. */
export type PeerScopedKey = string;

/** The ledger's record of a task, with its outcome once the task has ended. */
export interface TaskRow {
    readonly submission: SubmissionKey;
    readonly index: number;
    readonly state: TaskState;
    readonly refusal?: TaskRefusal;
    /** Highest start sequence of the owner that the refusal applies to; a later start is evaluated again. */
    readonly startSequence?: number;
    /** True when every later start of the task is refused. */
    readonly isClosed: boolean;
    readonly output?: JsonValue;
    readonly reason?: string;
    readonly bytes: number;
}

/** A task that was accepted and is queued at the agent until a slot is free. */
export interface QueuedTaskRow {
    readonly submission: SubmissionKey;
    readonly index: number;
    readonly sender: PeerIdentity;
    readonly team: string;
    readonly service: string;
    readonly kind: string;
    readonly payload: JsonValue;
    readonly deadlineAtMilliseconds: number;
    /** Configuration version that this agent needs before it checks whether the task is permitted here. */
    readonly requiredConfigurationVersion: number;
    /** Time at which the agent stops waiting for that version, in milliseconds since the epoch. */
    readonly configurationDeadlineAtMilliseconds: number;
    /** True when the sender has received a report that the task is queued. */
    readonly isReported: boolean;
}

/** The ledger's record of a submission. */
export interface SubmissionRow {
    readonly submission: SubmissionKey;
    readonly owner: PeerIdentity;
    readonly sequence: number;
    readonly isSealed: boolean;
    /** Addresses of entries that sealed the submission and receive the outcomes of tasks that are still running. */
    readonly sealedBy: readonly PeerAddress[];
    readonly indexes: readonly number[];
    /** Number of tasks that are queued or running. */
    readonly unfinishedTasks: number;
    readonly updatedAtMilliseconds: number;
    readonly bytes: number;
}

/** An entry that the agent has received a message from or has read from the registry. */
export interface EntryRow {
    readonly address: PeerAddress;
    /** Incarnation of the entry; undefined until the entry has sent a batch. */
    readonly incarnation: Incarnation | undefined;
    /** Earlier incarnations at the same address, whose late messages are ignored. */
    readonly replacedIncarnations: readonly Incarnation[];
    /** Time at which the entry became unreachable, in milliseconds since the epoch; undefined while it is reachable. */
    readonly unreachableSinceMilliseconds: number | undefined;
    /** Time of the last batch from the entry, in milliseconds since the epoch; 0 when none was received. */
    readonly lastReceivedAtMilliseconds: number;
    /** Fingerprint of the last announcement to the entry; undefined when none was sent or it must be sent again. */
    readonly announcedFingerprint: string | undefined;
    /** Time of the next announcement, in milliseconds since the epoch; undefined once the entry has replied. */
    readonly nextAnnouncementAtMilliseconds: number | undefined;
}

/** An entry's bid for slots. */
export interface BidRow {
    readonly address: PeerAddress;
    readonly service: string;
    readonly oldestArrivalMilliseconds: number;
    readonly waitingTasks: number;
    readonly placedAtMilliseconds: number;
    /** Consecutive offers that expired without a reply. */
    readonly unansweredOffers: number;
    /** Earliest time of the next offer for the bid, in milliseconds since the epoch. */
    readonly nextOfferAtMilliseconds: number;
}

/** Slots and queue places that are reserved for an entry until it replies to an offer or the offer expires. */
export interface OfferRow {
    readonly address: PeerAddress;
    /** Number of reserved free slots. */
    readonly slots: number;
    /** Number of reserved places in the agent's queue. */
    readonly queuePlaces: number;
    readonly offeredAtMilliseconds: number;
    readonly expiresAtMilliseconds: number;
}

/** Outcomes of a submission that a receiver has not acknowledged. */
export interface DeliveryRow {
    readonly submission: SubmissionKey;
    readonly receiver: PeerAddress;
    readonly indexes: readonly number[];
    /** Number of times that the outcomes were sent since the last one was added. */
    readonly attempts: number;
    readonly nextAttemptAtMilliseconds: number;
}

/** The backend server that this agent dispatches tasks to. */
export interface BackendServerRow {
    readonly announcement: BackendServerAnnouncement;
    readonly state: "present" | "silent" | "leaving";
    readonly lastAnnouncedAtMilliseconds: number;
    /** Distinct submissions with a failed task since the last success. */
    readonly failedSubmissions: readonly SubmissionKey[];
}
