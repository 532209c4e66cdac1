/**
 * Inputs of an agent's core.
 */
import type { PeerAddress, SubmissionKey } from "@lovagepitch/types/identity";
import type { JsonValue } from "@lovagepitch/types/job";
import type { VersionedManifest } from "@lovagepitch/types/manifest";
import type { PeerBatch } from "@lovagepitch/types/peerMessage";
import type { BackendServerAnnouncement, EntryRegistration } from "@lovagepitch/types/registry";

/** Outcome of a task that was dispatched to the backend server. */
export type TaskOutcome =
    | { readonly kind: "succeeded"; readonly output: JsonValue }
    | { readonly kind: "failed"; readonly reason: string }
    /** The backend server refused the connection, so the request cannot have reached it and the task did not run. */
    | { readonly kind: "not-delivered"; readonly reason: string };

/** An event that an agent's core processes in its next tick. */
export type AgentInput =
    | { readonly type: "peerBatch"; readonly batch: PeerBatch }
    | { readonly type: "peerUnreachable"; readonly address: PeerAddress }
    /** The backend server sent its first announcement or a periodic repetition of it. */
    | { readonly type: "backendAnnounced"; readonly announcement: BackendServerAnnouncement }
    | { readonly type: "backendLeaving" }
    | {
        readonly type: "taskEnded";
        readonly submission: SubmissionKey;
        readonly index: number;
        readonly outcome: TaskOutcome;
    }
    /** The agent's registration row was durably written under this registration number. */
    | { readonly type: "registered"; readonly number: number }
    | { readonly type: "registrationFailed" }
    | { readonly type: "entriesRead"; readonly entries: readonly EntryRegistration[] }
    | { readonly type: "manifestAccepted"; readonly manifest: VersionedManifest }
    /** Begins a graceful shutdown: the agent refuses starts, finishes running tasks and delivers their outcomes. */
    | { readonly type: "stop" };
