/**
 * Datagrams that wait in the socket while requests of callers are read: the event loop reads a limited number of them in each turn, so
 * a job may be placed before the announcement that came before it is read.
 */
import { reactionAllowanceMilliseconds } from "../model/timing.js";
import type { EntryInput } from "./entryPorts.js";
import type { EntryState } from "./entryState.js";

/** Largest number of datagrams that Node.js reads from a socket in one turn of the event loop. */
const datagramsPerTurn = 32;

/**
 * Detects whether more datagrams may have arrived than were read before this tick.
 *
 * @param state - state of the entry
 * @param inputs - inputs of this tick
 */
export function detectUnreadDatagrams(state: EntryState, inputs: readonly EntryInput[]): void {
    const datagrams = inputs.filter(({ kind }) => kind === "ownership" || kind === "capacity-requested").length;
    state.datagramsUnreadSince = datagrams < datagramsPerTurn ? undefined : state.datagramsUnreadSince ?? state.now;
}

/**
 * Tells whether tasks are placed only after further datagrams have been read.
 *
 * @param state - state of the entry
 * @returns false when all have been read, or so many arrive that they can't be waited for
 */
export function awaitsDatagrams(state: EntryState): boolean {
    const { datagramsUnreadSince: since } = state;
    return since !== undefined && state.now - since < reactionAllowanceMilliseconds;
}
