/**
 * Agents that are gone, while the ledger they may have left is read.
 */
import type { Incarnation, PeerAddress } from "@lovagepitch/types/identity";
import type { TaskReference } from "./taskRow.js";

/** One incarnation that is gone. */
export interface RemovedAgent {
    readonly address: PeerAddress;
    readonly incarnation: Incarnation;
    readonly worker: string;
    /** Why it counts as gone. */
    readonly reason: string;
    /** Tasks it was sent and has not finished, as far as is known. */
    readonly heldTasks: readonly TaskReference[];
}
