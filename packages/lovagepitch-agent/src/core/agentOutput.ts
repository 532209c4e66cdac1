/**
 * Outputs of an agent's core.
 */
import type { Decision } from "@lovagepitch/types/decision";
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JsonValue } from "@lovagepitch/types/job";
import type { OutgoingMessage } from "@lovagepitch/types/peerMessage";

/** A task to hand to the backend server, once. */
export interface TaskDispatch {
    readonly url: string;
    readonly submission: SubmissionKey;
    readonly index: number;
    readonly team: string;
    readonly service: string;
    readonly kind: string;
    readonly payload: JsonValue;
    /** Time after which the task counts as failed, in milliseconds. */
    readonly timeoutMilliseconds: number;
}

/** Everything that an agent's core asks its process to do. */
export type AgentOutput =
    | ({ readonly type: "send" } & OutgoingMessage)
    /** Hand a task to the backend server; answered by `taskEnded`. */
    | { readonly type: "dispatch"; readonly task: TaskDispatch }
    /** Write the registration row; answered by `registered` or `registrationFailed`. */
    | { readonly type: "register" }
    /** Mark the registration row as left. */
    | { readonly type: "deregister" }
    /** Read the manifest from the platform's table now. */
    | { readonly type: "readManifest" }
    | { readonly type: "decision"; readonly decision: Decision };
