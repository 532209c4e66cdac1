/**
 * Submissions whose keeper is gone: their agents are sealed and their outcomes collected.
 */
import type { Incarnation, SubmissionIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { TaskReport } from "@lovagepitch/types/peerMessage";
import type { AgentRegistration } from "@lovagepitch/types/registry";
import type { ForwardedCaller } from "./forwardRow.js";

/** What is known of one agent that may have started tasks of the submission. */
export interface CollectionAgent {
    readonly registration: AgentRegistration;
    /** "lost": this incarnation is gone for good without a ledger. */
    readonly state: "asking" | "sealed" | "lost";
    readonly reports: readonly TaskReport[];
    /** The ledger may lack records. */
    readonly isIncomplete: boolean;
}

/** One submission that is being collected. */
export interface CollectionRow {
    readonly submission: SubmissionKey;
    readonly identity: SubmissionIdentity;
    readonly job: JobRequest | undefined;
    readonly callers: readonly ForwardedCaller[];
    readonly startedAtMilliseconds: number;
    /** When callers that wait are told that the outcome is not known yet. */
    readonly replyByMilliseconds: number;
    /** When agents that stay unreachable are given up. */
    readonly giveUpAtMilliseconds: number;
    /** The keeper's finished answers are being read from the object store. */
    readonly isReadingAnswers: boolean;
    /** Undefined until a registry at least as new as the id was read. */
    readonly agents: ReadonlyMap<Incarnation, CollectionAgent> | undefined;
}
