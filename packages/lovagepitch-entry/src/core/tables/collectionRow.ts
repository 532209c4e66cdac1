/**
 * Collections: submissions whose owner entry is unavailable and whose outcome is collected from the agents. An agent
 * that has sealed a submission starts none of its tasks any more.
 */
import type { Incarnation, SubmissionIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { TaskReport } from "@lovagepitch/types/peerMessage";
import type { AgentRegistration } from "@lovagepitch/types/registry";
import type { ForwardedCaller } from "./forwardRow.js";

/** State of one agent that may have started tasks of the submission. */
export interface CollectionAgent {
    readonly registration: AgentRegistration;
    /** "pending": no seal report or ledger has arrived; "lost": this incarnation has ended and left no ledger. */
    readonly state: "pending" | "sealed" | "lost";
    readonly reports: readonly TaskReport[];
    /** True when the agent's ledger may lack records of the submission. */
    readonly isIncomplete: boolean;
}

/** One submission whose outcome is being collected. */
export interface CollectionRow {
    readonly submission: SubmissionKey;
    readonly identity: SubmissionIdentity;
    readonly job: JobRequest | undefined;
    readonly callers: readonly ForwardedCaller[];
    readonly startedAtMilliseconds: number;
    /** When waiting callers are answered that the outcome is unknown. */
    readonly replyByMilliseconds: number;
    /** When the collection ends without the agents that are still unreachable. */
    readonly abandonAtMilliseconds: number;
    /** True while the owner's finished answers are read from the object store. */
    readonly isReadingAnswers: boolean;
    /** Undefined until a registry at least as new as the submission id was read. */
    readonly agents: ReadonlyMap<Incarnation, CollectionAgent> | undefined;
}
