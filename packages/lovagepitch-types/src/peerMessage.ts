/**
 * Messages between the system's own processes. Links may lose, double, delay and reorder them; every message is
 * idempotent, and whoever needs an answer sends again until it has one.
 */
import type { Incarnation, PeerAddress, PeerIdentity, SubmissionKey } from "./identity.js";
import type { JobAnswer, JobRequest, JsonValue, SubmissionProgress } from "./job.js";
import type { VersionedManifest } from "./manifest.js";
import type { Problem } from "./problem.js";

/** A task as it travels to an agent. */
export interface TaskToStart {
    readonly index: number;
    readonly payload: JsonValue;
    readonly expectedMilliseconds: number;
}

/** Entry to agent: start these tasks of one submission, or let a few of them stand by. */
export interface StartTasks {
    readonly type: "startTasks";
    readonly submission: SubmissionKey;
    /** The incarnation that is meant; another one at the same address ignores the message. */
    readonly agent: Incarnation;
    /**
     * Position among the sender's starts and recalls to this agent incarnation, from 1. An agent that has seen a higher
     * one refuses what it has not recorded, so that a doubled or late start cannot run after it was refused.
     */
    readonly startSequence: number;
    readonly team: string;
    readonly service: string;
    readonly kind: string;
    /** Instant at which the job's deadline passes, in milliseconds since the epoch. */
    readonly deadlineAtMilliseconds: number;
    readonly tasks: readonly TaskToStart[];
}

/** Entry to agent: drop these tasks if they have not started; each is answered by a TaskReport. */
export interface RecallTasks {
    readonly type: "recallTasks";
    readonly submission: SubmissionKey;
    /** Position among the sender's starts and recalls; earlier starts that arrive later are refused. */
    readonly startSequence: number;
    readonly indexes: readonly number[];
}

/** Entry to agent: what has become of these tasks? Also tells that the agent is alive. */
export interface QueryTasks {
    readonly type: "queryTasks";
    readonly submission: SubmissionKey;
    readonly indexes: readonly number[];
}

/** Entry to agent: start no more of these submissions, for good, and report what was started. */
export interface SealSubmissions {
    readonly type: "sealSubmissions";
    readonly submissions: readonly SubmissionKey[];
}

/** Entry to agent: these outcomes arrived. */
export interface AcknowledgeOutcomes {
    readonly type: "acknowledgeOutcomes";
    readonly submission: SubmissionKey;
    readonly indexes: readonly number[];
    /** Slots offered along with the outcomes that the entry does not need. */
    readonly declinedSlots: number;
}

/** Entry to agent: tasks wait here; offer a slot when one is free. Replaces the sender's earlier bid. */
export interface PlaceBid {
    readonly type: "placeBid";
    readonly service: string;
    /** Arrival of the oldest waiting task, in milliseconds since the epoch. */
    readonly oldestArrivalMilliseconds: number;
    /** 0 withdraws the bid. */
    readonly waitingTasks: number;
}

/** Entry to agent: the offered slots are not needed. */
export interface DeclineOffer {
    readonly type: "declineOffer";
    readonly slots: number;
}

/** Why an agent did not take a task; in every case the task did not run there and never will under this start. */
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
    /** A start or recall with a higher sequence came before it. */
    | "out-of-order";

/** What an agent knows of one task. */
export type TaskReportState =
    | { readonly state: "standing-by" }
    | { readonly state: "running" }
    | { readonly state: "succeeded"; readonly output: JsonValue }
    | { readonly state: "failed"; readonly reason: string }
    /** Not run: true once and for all of every start up to this sequence. */
    | { readonly state: "refused"; readonly refusal: TaskRefusal; readonly startSequence: number }
    /** Never heard of: a start may be on its way. */
    | { readonly state: "unknown" }
    /** Its ledger record has been dropped: it may have run. */
    | { readonly state: "forgotten" };

/** Report of one task. */
export interface TaskReport {
    readonly index: number;
    readonly report: TaskReportState;
}

/** How full an agent is; rides on every message to an entry. */
export interface AgentLoad {
    readonly slots: number;
    readonly runningTasks: number;
    readonly standingByTasks: number;
    /** Most tasks that may stand by. */
    readonly standByLimit: number;
    /** The backend server failed several submissions in a row. */
    readonly suspect: boolean;
    readonly leaving: boolean;
}

/** Agent to entry: states of tasks, as a reply to a start, a recall or a query, or because one finished. */
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
    /** The ledger may have dropped records of the submission, so what it lacks may have run. */
    readonly incomplete: boolean;
}

/** Agent to entry: slots are free and the entry's bid is the oldest. */
export interface OfferSlots {
    readonly type: "offerSlots";
    readonly slots: number;
    readonly load: AgentLoad;
}

/** Agent to entry: the agent is here, or has changed. */
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

/** Any to any: are you there, in which incarnation, and with which configuration version? Answered by a Pong. */
export interface Ping {
    readonly type: "ping";
}

/** Answers a Ping. */
export interface Pong {
    readonly type: "pong";
}

/** What an entry asks of the keeper of a submission, for a caller that came to the wrong entry. */
export type ForwardedRequest =
    | { readonly operation: "submit"; readonly job: JobRequest }
    | { readonly operation: "query" }
    | { readonly operation: "cancel" };

/** Entry to entry: a caller's request on a submission that the receiver keeps. */
export interface ForwardRequest {
    readonly type: "forwardRequest";
    readonly submission: SubmissionKey;
    /** Incarnation that keeps the submission; another incarnation answers `forwardRefused`. */
    readonly keeper: Incarnation;
    readonly request: ForwardedRequest;
}

/** What became of a request on a submission. */
export type SubmissionResult =
    | { readonly kind: "answer"; readonly answer: JobAnswer }
    | { readonly kind: "problem"; readonly problem: Problem }
    | { readonly kind: "progress"; readonly progress: SubmissionProgress };

/** Entry to entry: the keeper has the request, and will send the result when there is one. */
export interface ForwardAccepted {
    readonly type: "forwardAccepted";
    readonly submission: SubmissionKey;
}

/** Entry to entry: the receiver is another incarnation than the keeper, which is gone. */
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

/** Any to any: send me your manifest, for yours is newer. */
export interface RequestManifest {
    readonly type: "requestManifest";
}

/** Any to any: the manifest that was asked for. */
export interface SendManifest {
    readonly type: "sendManifest";
    readonly manifest: VersionedManifest;
}

/** Every message between the system's own processes. */
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

/** All that one process sends another in one tick. */
export interface PeerBatch {
    readonly sender: PeerIdentity;
    readonly role: "entry" | "agent";
    /** Newest configuration version in force at the sender; 0 before it has one. */
    readonly configurationVersion: number;
    readonly messages: readonly PeerMessage[];
}

/** A message and the address it goes to. */
export interface OutgoingMessage {
    readonly destination: PeerAddress;
    readonly message: PeerMessage;
}
