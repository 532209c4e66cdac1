/**
 * Input types of the entry's core.
 */
import type { Incarnation, PeerAddress, SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { AnswersHandover, LedgerHandover } from "@lovagepitch/types/ledger";
import type { VersionedManifest } from "@lovagepitch/types/manifest";
import type { PeerBatch } from "@lovagepitch/types/peerMessage";
import type { Registry } from "@lovagepitch/types/registry";

/** Number of a caller's request within the process; matches the core's response to it. */
export type RequestId = number;

/** Idempotency key that a caller chose, unique within its team and service. */
export interface CallerKey {
    readonly team: string;
    readonly service: string;
    readonly key: string;
}

/** Result of claiming a caller's key in the platform's table. */
export type ClaimOutcome =
    /** The key is bound to this submission, by this claim or an earlier one. */
    | { readonly kind: "bound"; readonly submission: SubmissionKey; readonly jobDigest: string }
    /** The table did not answer, so it is unknown whether the key is bound. */
    | { readonly kind: "unavailable" };

/** Result of reading a handover object from the object store. */
export type HandoverOutcome =
    | { readonly kind: "answers"; readonly handover: AnswersHandover }
    | { readonly kind: "ledger"; readonly handover: LedgerHandover }
    | { readonly kind: "absent" }
    | { readonly kind: "unavailable" };

/** An event that the entry's core handles. */
export type EntryInput =
    | { readonly type: "peerBatch"; readonly batch: PeerBatch }
    /** No connection to the address could be opened, or none delivered a reply in time. */
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
    /** The caller closed its connection; its job continues. */
    | { readonly type: "requestClosed"; readonly request: RequestId }
    | { readonly type: "registryRead"; readonly registry: Registry }
    | { readonly type: "registryUnavailable" }
    | { readonly type: "manifestAccepted"; readonly manifest: VersionedManifest }
    | { readonly type: "handoverRead"; readonly incarnation: Incarnation; readonly outcome: HandoverOutcome }
    /** Start of a graceful shutdown: admit no new jobs, finish the admitted ones. */
    | { readonly type: "stop" };
