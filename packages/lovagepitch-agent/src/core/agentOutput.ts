/**
 * Outputs of an agent's core.
 */
import type { Decision } from "@lovagepitch/types/decision";
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JsonValue } from "@lovagepitch/types/job";
import type { OutgoingMessage } from "@lovagepitch/types/peerMessage";

/** A task to send to the backend server, at most once. */
export interface TaskDispatch {
    readonly url: string;
    readonly submission: SubmissionKey;
    readonly index: number;
    readonly team: string;
    readonly service: string;
    readonly kind: string;
    readonly payload: JsonValue;
    /** Time after which a task without a response counts as failed, in milliseconds. */
    readonly timeoutMilliseconds: number;
}

/** An action that an agent's core requests from its process. */
export type AgentOutput =
    | ({ readonly type: "send" } & OutgoingMessage)
    /** Sends a task to the backend server; the process reports the outcome as `taskEnded`. */
    | { readonly type: "dispatch"; readonly task: TaskDispatch }
    /** Writes the registration row; the process reports the result as `registered` or `registrationFailed`. */
    | { readonly type: "register" }
    /** Marks the registration row as left. */
    | { readonly type: "deregister" }
    /** Reads the manifest from the platform's table immediately. */
    | { readonly type: "readManifest" }
    | { readonly type: "decision"; readonly decision: Decision };
