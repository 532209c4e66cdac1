/**
 * Rows of an agent's tables.
 */
import type { Incarnation, PeerAddress, PeerIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { JsonValue } from "@lovagepitch/types/job";
import type { TaskRefusal } from "@lovagepitch/types/peerMessage";
import type { BackendServerAnnouncement } from "@lovagepitch/types/registry";
import type { TaskState } from "../lifecycles/taskLifecycle.js";

/** Key of a task: its submission and its index. */
export type TaskKey = string;

/** Key of something that belongs to a peer and one thing more. */
export type PeerScopedKey = string;

/** A task that was received, with its outcome once it has one. */
export interface TaskRow {
    readonly submission: SubmissionKey;
    readonly index: number;
    readonly state: TaskState;
    readonly refusal?: TaskRefusal;
    /** Highest start of the keeper that a refusal holds for. */
    readonly startSequence?: number;
    /** No later start can take the task. */
    readonly isClosed: boolean;
    readonly output?: JsonValue;
    readonly reason?: string;
    readonly bytes: number;
}

/** What a task that stands by needs once a slot is free. */
export interface StandingByRow {
    readonly submission: SubmissionKey;
    readonly index: number;
    readonly sender: PeerIdentity;
    readonly team: string;
    readonly service: string;
    readonly kind: string;
    readonly payload: JsonValue;
    readonly deadlineAtMilliseconds: number;
    /** Configuration version that this agent must have before it may judge the place. */
    readonly requiredConfigurationVersion: number;
    /** Instant at which waiting for that version ends. */
    readonly configurationDeadlineAtMilliseconds: number;
    /** Whether the sender has been told that the task stands by. */
    readonly isReported: boolean;
}

/** The ledger's records of one submission. */
export interface SubmissionRow {
    readonly submission: SubmissionKey;
    readonly keeper: PeerIdentity;
    readonly sequence: number;
    readonly isSealed: boolean;
    /** Entries that sealed the submission and wait for what still runs. */
    readonly sealedBy: readonly PeerAddress[];
    readonly indexes: readonly number[];
    /** Number of tasks that stand by or run now. */
    readonly unfinishedTasks: number;
    readonly updatedAtMilliseconds: number;
    readonly bytes: number;
}

/** An entry that this agent knows of. */
export interface EntryRow {
    readonly address: PeerAddress;
    /** Undefined until the entry sent something or its registration was read. */
    readonly incarnation: Incarnation | undefined;
    /** Earlier incarnations at the address; their late messages are ignored. */
    readonly replacedIncarnations: readonly Incarnation[];
    /** Instant at which the entry became unreachable; undefined while it can be reached. */
    readonly unreachableSinceMilliseconds: number | undefined;
    /** Instant of the last batch from the entry; 0 when there was none. */
    readonly lastReceivedAtMilliseconds: number;
    /** What the entry was last told of this agent; undefined when nothing. */
    readonly announcedFingerprint: string | undefined;
    /** Instant of the next announcement; undefined when the entry has answered the last one. */
    readonly nextAnnouncementAtMilliseconds: number | undefined;
}

/** An entry's bid for slots. */
export interface BidRow {
    readonly address: PeerAddress;
    readonly service: string;
    readonly oldestArrivalMilliseconds: number;
    readonly waitingTasks: number;
    readonly placedAtMilliseconds: number;
    /** Offers in a row that the entry did not answer. */
    readonly unansweredOffers: number;
    /** Instant before which the bid gets no other offer. */
    readonly nextOfferAtMilliseconds: number;
}

/** Slots that are reserved for an entry while it considers an offer. */
export interface OfferRow {
    readonly address: PeerAddress;
    /** Free slots that the offer reserves. */
    readonly slots: number;
    /** Places to stand by that the offer reserves. */
    readonly standByPlaces: number;
    readonly offeredAtMilliseconds: number;
    readonly expiresAtMilliseconds: number;
}

/** Outcomes of one submission that a receiver has not acknowledged. */
export interface DeliveryRow {
    readonly submission: SubmissionKey;
    readonly receiver: PeerAddress;
    readonly indexes: readonly number[];
    /** Times that the outcomes were sent since the last one was added. */
    readonly attempts: number;
    readonly nextAttemptAtMilliseconds: number;
}

/** The backend server beside this agent. */
export interface BackendServerRow {
    readonly offer: BackendServerAnnouncement;
    readonly state: "present" | "silent" | "leaving";
    readonly lastAnnouncedAtMilliseconds: number;
    /** Different submissions that failed since the last success. */
    readonly failedSubmissions: readonly SubmissionKey[];
}
