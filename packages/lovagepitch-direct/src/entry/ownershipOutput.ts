/**
 * Messages to other entries about open jobs.
 */
import type { EntryProcess, OwnershipMessage } from "../model/jobOwnership.js";
import type { EntryState } from "./entryState.js";

/**
 * Names the entry's own process.
 *
 * @param state - state of the entry
 * @returns address and incarnation
 */
export function pickProcess(state: EntryState): EntryProcess {
    return { address: state.identity.address, incarnation: state.identity.incarnation };
}

/**
 * Sends a message to another entry.
 *
 * @param state - state of the entry
 * @param address - host and port at which the other entry listens
 * @param message - message to send
 */
export function sendOwnership(state: EntryState, address: string, message: OwnershipMessage): void {
    state.outputs.push({ kind: "ownership", address, message });
}
