/**
 * Removed agents whose ledger is being read.
 */
import type { Incarnation, PeerAddress } from "@lovagepitch/types/identity";
import type { TaskReference } from "./taskRow.js";

/** One removed agent incarnation. */
export interface RemovedAgent {
    readonly address: PeerAddress;
    readonly incarnation: Incarnation;
    readonly worker: string;
    /** Why it was removed; part of the answer to jobs that fail because of it. */
    readonly reason: string;
    /** Tasks that were sent to it and whose outcome it has not reported. */
    readonly heldTasks: readonly TaskReference[];
}
