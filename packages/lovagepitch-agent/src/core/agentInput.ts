/**
 * Inputs of an agent's core.
 */
import type { PeerAddress, SubmissionKey } from "@lovagepitch/types/identity";
import type { JsonValue } from "@lovagepitch/types/job";
import type { VersionedManifest } from "@lovagepitch/types/manifest";
import type { PeerBatch } from "@lovagepitch/types/peerMessage";
import type { BackendServerAnnouncement, EntryRegistration } from "@lovagepitch/types/registry";

/** How a task that was handed to the backend server ended. */
export type TaskOutcome =
    | { readonly kind: "succeeded"; readonly output: JsonValue }
    | { readonly kind: "failed"; readonly reason: string }
    /** The backend server refused the connection, so that the request cannot have reached it. */
    | { readonly kind: "not-delivered"; readonly reason: string };

/** Everything that can happen to an agent. */
export type AgentInput =
    | { readonly type: "peerBatch"; readonly batch: PeerBatch }
    | { readonly type: "peerUnreachable"; readonly address: PeerAddress }
    /** The backend server announced itself, or repeated that it is there. */
    | { readonly type: "backendAnnounced"; readonly offer: BackendServerAnnouncement }
    | { readonly type: "backendLeaving" }
    | {
        readonly type: "taskEnded";
        readonly submission: SubmissionKey;
        readonly index: number;
        readonly outcome: TaskOutcome;
    }
    /** The registration row is durable. */
    | { readonly type: "registered"; readonly number: number }
    | { readonly type: "registrationFailed" }
    | { readonly type: "entriesRead"; readonly entries: readonly EntryRegistration[] }
    | { readonly type: "manifestAccepted"; readonly manifest: VersionedManifest }
    /** A planned stop began: refuse starts, finish what runs, deliver outcomes. */
    | { readonly type: "stop" };
