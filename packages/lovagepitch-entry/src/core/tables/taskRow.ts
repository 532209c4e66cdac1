/**
 * Tasks of the submissions that an entry owns.
 */
import type { Incarnation, PeerAddress, SubmissionKey } from "@lovagepitch/types/identity";
import type { JsonValue } from "@lovagepitch/types/job";

/** States of a task at its owner entry. */
export type TaskState =
    /** Not sent to any agent, so it can be placed on any permitted one. */
    | "waiting"
    /** Sent to an agent that has not reported on it. */
    | "sent"
    /** Queued at an agent that has no free slot. */
    | "standing-by"
    | "running"
    | "succeeded"
    | "failed"
    /** Its agent was removed or has dropped its record, so its outcome is unknown. */
    | "lost";

/** State of one task and the agent that it was sent to. */
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

/** Identifies one task of one submission. */
export interface TaskReference {
    readonly submission: SubmissionKey;
    readonly index: number;
}

/** Initial row of a task. */
export const newTask: TaskRow = { state: "waiting", startSequence: 0, sentAtMilliseconds: 0 };
