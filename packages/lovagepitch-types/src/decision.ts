/**
 * Routing and placement decisions, as they are written to the log. They contain no payloads.
 */
import type { PeerAddress, SubmissionKey } from "./identity.js";

/** Kind of decision that an entry or an agent made. */
export type DecisionKind =
    | "admitted"
    | "refused"
    | "placed"
    | "bid"
    | "recalled"
    | "taken"
    | "declined"
    | "started"
    | "finished"
    | "answered"
    | "forwarded"
    | "swept"
    | "sealed"
    | "ejected"
    | "restored"
    | "cancelled"
    | "configured";

/** A decision with its reason and the submission, task and processes that it concerns. */
export interface Decision {
    readonly decision: DecisionKind;
    readonly reason: string;
    readonly submission?: SubmissionKey;
    readonly task?: number;
    readonly worker?: string;
    readonly availabilityZone?: string;
    readonly peer?: PeerAddress;
    readonly configurationVersion: number;
}
