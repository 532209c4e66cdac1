/**
 * Tasks of the submissions that an entry keeps.
 */
import type { Incarnation, PeerAddress, SubmissionKey } from "@lovagepitch/types/identity";
import type { JsonValue } from "@lovagepitch/types/job";

/** States of a task at its keeper. */
export type TaskState =
    /** Given to no agent; it can be placed anywhere. */
    | "waiting"
    /** Sent to an agent that has not answered yet. */
    | "sent"
    /** Accepted by an agent that has no free slot yet. */
    | "standing-by"
    | "running"
    | "succeeded"
    | "failed"
    /** Its agent is gone or has dropped its record. */
    | "lost";

/** One task. */
export interface TaskRow {
    readonly state: TaskState;
    /** Sequence of the latest start or recall that named the task; 0 when it was never sent. */
    readonly startSequence: number;
    readonly sentAtMilliseconds: number;
    readonly agent?: PeerAddress;
    readonly agentIncarnation?: Incarnation;
    readonly worker?: string;
    readonly availabilityZone?: string;
    readonly output?: JsonValue;
}

/** Names one task of one submission. */
export interface TaskReference {
    readonly submission: SubmissionKey;
    readonly index: number;
}

/** A task that has been nowhere yet. */
export const newTask: TaskRow = { state: "waiting", startSequence: 0, sentAtMilliseconds: 0 };
