/**
 * Output types of the entry's core.
 */
import type { Decision } from "@lovagepitch/types/decision";
import type { Incarnation, SubmissionKey } from "@lovagepitch/types/identity";
import type { OutgoingMessage, SubmissionResult } from "@lovagepitch/types/peerMessage";
import type { CallerKey, RequestId } from "./entryInput.js";

/** Response to a caller's request. */
export type EntryResponse =
    | SubmissionResult
    | { readonly kind: "issued"; readonly submissions: readonly SubmissionKey[] };

/** An action that the entry's core asks its process to perform. */
export type EntryOutput =
    | ({ readonly type: "send" } & OutgoingMessage)
    | { readonly type: "respond"; readonly request: RequestId; readonly response: EntryResponse }
    /** Bind the caller's key in the platform's table unless it is bound already; answered by `claimResolved`. */
    | {
        readonly type: "claimKey";
        readonly request: RequestId;
        readonly key: CallerKey;
        readonly jobDigest: string;
        readonly submission: SubmissionKey;
    }
    /** Read the registry now; answered by `registryRead` or `registryUnavailable`. */
    | { readonly type: "readRegistry" }
    /** Read a stopped process's handover object; answered by `handoverRead`. */
    | { readonly type: "readHandover"; readonly kind: "answers" | "ledger"; readonly incarnation: Incarnation }
    /** Read the manifest from the platform's table now. */
    | { readonly type: "readManifest" }
    | { readonly type: "decision"; readonly decision: Decision };
