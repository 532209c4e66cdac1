/**
 * Messages between entries and agents. Links may lose, duplicate, delay and reorder them, so every message is
 * idempotent, and a process that needs a reply resends its message until it receives one.
 */
import type { Incarnation, PeerAddress, PeerIdentity, SubmissionKey } from "./identity.js";
import type { JobAnswer, JobRequest, JsonValue, SubmissionProgress } from "./job.js";
import type { VersionedManifest } from "./manifest.js";
import type { Problem } from "./problem.js";

/** A task in a start message. */
export interface TaskToStart {
    readonly index: number;
    readonly payload: JsonValue;
    readonly expectedMilliseconds: number;
}

/** Entry to agent: start these tasks of one submission, or queue a few of them at the agent. */
export interface StartTasks {
    readonly type: "startTasks";
    readonly submission: SubmissionKey;
    /** Incarnation that the message is addressed to; another incarnation at the same address ignores it. */
    readonly agent: Incarnation;
    /**
     * Sequence number among the sender's starts and recalls to this agent incarnation, from 1. An agent that has
     * received a higher one refuses tasks that it has no record of, so that a duplicate or late start cannot run after
     * it was refused.
     */
    readonly startSequence: number;
    readonly team: string;
    readonly service: string;
    readonly kind: string;
    /** Time at which the job's deadline passes, in milliseconds since the epoch. */
    readonly deadlineAtMilliseconds: number;
    readonly tasks: readonly TaskToStart[];
}

/** Entry to agent: cancel these tasks if they have not started; the agent answers with a TaskReport for each. */
export interface RecallTasks {
    readonly type: "recallTasks";
    readonly submission: SubmissionKey;
    /** Sequence number among the sender's starts and recalls; lower-numbered starts that arrive later are refused. */
    readonly startSequence: number;
    readonly indexes: readonly number[];
}

/** Entry to agent: request the states of these tasks. The reply also shows that the agent is alive. */
export interface QueryTasks {
    readonly type: "queryTasks";
    readonly submission: SubmissionKey;
    readonly indexes: readonly number[];
}

/** Entry to agent: never start a task of these submissions again, and report the tasks that were started. */
export interface SealSubmissions {
    readonly type: "sealSubmissions";
    readonly submissions: readonly SubmissionKey[];
}

/** Entry to agent: acknowledge the receipt of these outcomes. */
export interface AcknowledgeOutcomes {
    readonly type: "acknowledgeOutcomes";
    readonly submission: SubmissionKey;
    readonly indexes: readonly number[];
    /** Slots that the agent offered along with the outcomes and the entry declines. */
    readonly declinedSlots: number;
}

/** Entry to agent: request an offer of free slots for waiting tasks. Replaces the sender's earlier bid. */
export interface PlaceBid {
    readonly type: "placeBid";
    readonly service: string;
    /** Arrival of the oldest waiting task, in milliseconds since the epoch. */
    readonly oldestArrivalMilliseconds: number;
    /** 0 withdraws the bid. */
    readonly waitingTasks: number;
}

/** Entry to agent: decline offered slots. */
export interface DeclineOffer {
    readonly type: "declineOffer";
    readonly slots: number;
}

/** Why an agent refused a task. In every case the task did not run there, and this start will never run it. */
export type TaskRefusal =
    | "busy"
    | "not-eligible"
    | "not-permitted"
    | "sealed"
    | "leaving"
    | "configuration-behind"
    | "backend-unavailable"
    | "recalled"
    | "deadline-passed"
    | "not-registered"
    /** A start or recall with a higher sequence number was received before it. */
    | "out-of-order";

/** State of a task at an agent. */
export type TaskReportState =
    | { readonly state: "standing-by" }
    | { readonly state: "running" }
    | { readonly state: "succeeded"; readonly output: JsonValue }
    | { readonly state: "failed"; readonly reason: string }
    /** Not run, and no start up to this sequence number will ever run the task. */
    | { readonly state: "refused"; readonly refusal: TaskRefusal; readonly startSequence: number }
    /** The agent has no record of the task; a start may still be in transit. */
    | { readonly state: "unknown" }
    /** The ledger record was evicted, so the task may have run. */
    | { readonly state: "forgotten" };

/** A task and its state at the agent. */
export interface TaskReport {
    readonly index: number;
    readonly report: TaskReportState;
}

/** Slots and tasks of an agent; part of its reports, offers and announcements. */
export interface AgentLoad {
    readonly slots: number;
    readonly runningTasks: number;
    readonly standingByTasks: number;
    /** Largest number of tasks that may be queued at the agent. */
    readonly standByLimit: number;
    /** True when the backend server failed several submissions in a row. */
    readonly suspect: boolean;
    readonly leaving: boolean;
}

/** Agent to entry: states of tasks, as a reply to a start, a recall or a query, or when a task has finished. */
export interface ReportTasks {
    readonly type: "reportTasks";
    readonly submission: SubmissionKey;
    readonly reports: readonly TaskReport[];
    readonly load: AgentLoad;
    /** Slots offered to the receiving entry along with this report. */
    readonly offeredSlots: number;
}

/** Agent to entry: the ledger's records of a sealed submission. */
export interface ReportSeal {
    readonly type: "reportSeal";
    readonly submission: SubmissionKey;
    /** Started tasks only; all other tasks of the submission were not started here and never will be. */
    readonly reports: readonly TaskReport[];
    /** True when records of the submission may have been evicted, so tasks without a record may have run. */
    readonly incomplete: boolean;
}

/** Agent to entry: offer free slots, because the entry's bid is the oldest. */
export interface OfferSlots {
    readonly type: "offerSlots";
    readonly slots: number;
    readonly load: AgentLoad;
}

/** Agent to entry: announce the agent, or a change of its properties. */
export interface AnnounceAgent {
    readonly type: "announceAgent";
    readonly worker: string;
    readonly rack: string;
    readonly availabilityZone: string;
    readonly cores: number;
    readonly memoryMegabytes: number;
    readonly registrationNumber: number;
    readonly services: readonly string[];
    readonly load: AgentLoad;
}

/**
 * Any process to any other: check the receiver's liveness, incarnation and configuration version. The reply is a Pong.
 */
export interface Ping {
    readonly type: "ping";
}

/** Any process to any other: reply to a Ping; incarnation and configuration version are part of the batch. */
export interface Pong {
    readonly type: "pong";
}

/** A caller's operation that an entry forwards to the owner of the submission. */
export type ForwardedRequest =
    | { readonly operation: "submit"; readonly job: JobRequest }
    | { readonly operation: "query" }
    | { readonly operation: "cancel" };

/** Entry to entry: a caller's request on a submission that the receiver owns. */
export interface ForwardRequest {
    readonly type: "forwardRequest";
    readonly submission: SubmissionKey;
    /**
     * Incarnation of the submission's owner, which the wire calls `keeper`; another incarnation answers
     * `forwardRefused`.
     */
    readonly keeper: Incarnation;
    readonly request: ForwardedRequest;
}

/** Result of a caller's request on a submission. */
export type SubmissionResult =
    | { readonly kind: "answer"; readonly answer: JobAnswer }
    | { readonly kind: "problem"; readonly problem: Problem }
    | { readonly kind: "progress"; readonly progress: SubmissionProgress };

/** Entry to entry: the owner has received the request and will send the result once it is available. */
export interface ForwardAccepted {
    readonly type: "forwardAccepted";
    readonly submission: SubmissionKey;
}

/** Entry to entry: the receiver is not the incarnation that owned the submission; that incarnation has ended. */
export interface ForwardRefused {
    readonly type: "forwardRefused";
    readonly submission: SubmissionKey;
}

/** Entry to entry: the result of a forwarded request. */
export interface ForwardResult {
    readonly type: "forwardResult";
    readonly submission: SubmissionKey;
    readonly operation: ForwardedRequest["operation"];
    readonly result: SubmissionResult;
}

/** Any process to any other: request the receiver's manifest, because its version is newer. */
export interface RequestManifest {
    readonly type: "requestManifest";
}

/** Any process to any other: the requested manifest. */
export interface SendManifest {
    readonly type: "sendManifest";
    readonly manifest: VersionedManifest;
}

/** Any message between entries and agents. */
export type PeerMessage =
    | StartTasks
    | RecallTasks
    | QueryTasks
    | SealSubmissions
    | AcknowledgeOutcomes
    | PlaceBid
    | DeclineOffer
    | ReportTasks
    | ReportSeal
    | OfferSlots
    | AnnounceAgent
    | Ping
    | Pong
    | ForwardRequest
    | ForwardAccepted
    | ForwardRefused
    | ForwardResult
    | RequestManifest
    | SendManifest;

/** Messages that one process sends to another in one tick. */
export interface PeerBatch {
    readonly sender: PeerIdentity;
    readonly role: "entry" | "agent";
    /** Newest configuration version in force at the sender; 0 before it has one. */
    readonly configurationVersion: number;
    readonly messages: readonly PeerMessage[];
}

/** A message and its destination. */
export interface OutgoingMessage {
    readonly destination: PeerAddress;
    readonly message: PeerMessage;
}
