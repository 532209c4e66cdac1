/**
 * Inputs of an entry's core.
 */
import type { Incarnation, PeerAddress, SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { AnswersHandover, LedgerHandover } from "@lovagepitch/types/ledger";
import type { VersionedManifest } from "@lovagepitch/types/manifest";
import type { PeerBatch } from "@lovagepitch/types/peerMessage";
import type { Registry } from "@lovagepitch/types/registry";

/** Number that the process gives a caller's request, to match the response. */
export type RequestId = number;

/** A key that a caller chose, within its team and service. */
export interface CallerKey {
    readonly team: string;
    readonly service: string;
    readonly key: string;
}

/** How a claim of a caller's key ended. */
export type ClaimOutcome =
    /** The key is bound to this submission, by this claim or an earlier one. */
    | { readonly kind: "bound"; readonly submission: SubmissionKey; readonly jobDigest: string }
    /** The table gave no answer; nothing is known of the key. */
    | { readonly kind: "unavailable" };

/** How the reading of a handover object ended. */
export type HandoverOutcome =
    | { readonly kind: "answers"; readonly handover: AnswersHandover }
    | { readonly kind: "ledger"; readonly handover: LedgerHandover }
    | { readonly kind: "absent" }
    | { readonly kind: "unavailable" };

/** Everything that can happen to an entry. */
export type EntryInput =
    | { readonly type: "peerBatch"; readonly batch: PeerBatch }
    /** No connection to the address could be made, or none carried an answer in time. */
    | { readonly type: "peerUnreachable"; readonly address: PeerAddress }
    | { readonly type: "issue"; readonly request: RequestId; readonly count: number }
    | {
        readonly type: "submit";
        readonly request: RequestId;
        readonly submission: SubmissionKey;
        readonly job: JobRequest;
    }
    | {
        readonly type: "submitWithKey";
        readonly request: RequestId;
        readonly key: CallerKey;
        readonly job: JobRequest;
    }
    | { readonly type: "claimResolved"; readonly request: RequestId; readonly outcome: ClaimOutcome }
    | { readonly type: "query"; readonly request: RequestId; readonly submission: SubmissionKey }
    | { readonly type: "cancel"; readonly request: RequestId; readonly submission: SubmissionKey }
    /** The caller went away; its job goes on. */
    | { readonly type: "requestClosed"; readonly request: RequestId }
    | { readonly type: "registryRead"; readonly registry: Registry }
    | { readonly type: "registryUnavailable" }
    | { readonly type: "manifestAccepted"; readonly manifest: VersionedManifest }
    | { readonly type: "handoverRead"; readonly incarnation: Incarnation; readonly outcome: HandoverOutcome }
    /** A planned stop began: admit nothing more, finish what was admitted. */
    | { readonly type: "stop" };
