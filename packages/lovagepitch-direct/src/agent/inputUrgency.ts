/**
 * Load pattern: an agent of a large deployment exchanges heartbeats with several entries, and its worker answers every order. A tick for
 * each would cost more than all ticks that decide something.
 */
import type { EntryFrame } from "../model/frames.js";
import type { AgentInput } from "./agentPorts.js";
import type { AgentState } from "./agentState.js";

/**
 * Tells whether an input has to be processed at once. What is not urgent renews a lease, which is read in the next tick before
 * anything is decided by it, or confirms a start while nothing waits for the worker.
 *
 * @param state - state of the agent
 * @param input - the input
 * @returns false when the input may wait for the next tick
 */
export function isUrgentInput(state: AgentState, input: AgentInput): boolean {
    switch (input.kind) {
        case "start-answered":
            return input.outcome !== "accepted" || state.pendingStarts.size > 0 || isCapacityAwaited(state);
        case "frame":
            return isUrgentFrame(state, input.address, input.frame) || isCapacityAwaited(state);
        default:
            return true;
    }
}

/** Tells whether an entry waits for capacity, which the agent reports as early as it can. */
function isCapacityAwaited(state: AgentState): boolean {
    for (const { awaitsCapacity } of state.entries.values()) {
        if (awaitsCapacity) {
            return true;
        }
    }
    return false;
}

function isUrgentFrame(state: AgentState, address: string, frame: EntryFrame): boolean {
    const row = state.entries.get(address);
    // Until the first frame of an entry is processed, the agent sends it nothing further.
    if (row?.connection !== "open" || row.incarnation !== frame.entry || row.includedSequence === 0) {
        return true;
    }
    const { configuration } = frame;
    return frame.starts.length > 0 || frame.stops.length > 0 || frame.entryAddresses.length > 0
        || (frame.invitations?.length ?? 0) > 0 || (frame.crashes?.length ?? 0) > 0
        || frame.evacuations !== undefined || frame.reportedCapacity !== undefined
        || configuration.isRequested === true || configuration.configuration !== undefined
        || configuration.version !== row.configurationVersion
        || (frame.awaitsCapacity ?? false) !== row.awaitsCapacity;
}
