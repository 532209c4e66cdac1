/**
 * Routing and placement decisions, for the log. They carry no payloads.
 */
import type { PeerAddress, SubmissionKey } from "./identity.js";

/** What was decided. */
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

/** One decision and the facts it rests on. */
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
