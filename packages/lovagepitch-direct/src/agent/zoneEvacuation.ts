/**
 * Evacuation of the agent's availability zone: entries name the evacuated zones in their frames, and the agent passes
 * them on to entries that know an older state.
 */
import { findEvacuationChange, type ZoneEvacuations } from "../model/zoneEvacuations.js";
import type { AgentState } from "./agentState.js";

/**
 * Puts evacuations in force; a state that is not newer than the one in force is ignored. Runs continue to their ends.
 *
 * @param state - state of the agent
 * @param evacuations - received state; undefined when the frame carried none
 */
export function receiveEvacuations(state: AgentState, evacuations: ZoneEvacuations | undefined): void {
    const change = findEvacuationChange(state.evacuations, evacuations);
    if (evacuations === undefined || change === undefined) {
        return;
    }
    state.evacuations = evacuations;
    const { availabilityZone: zone } = state.identity;
    const { revision } = evacuations;
    const fields = { zone, revision, runs: state.runs.size, queuedOrders: state.queuedOrders.size };
    if (change.begun.includes(zone)) {
        state.log("info", "evacuation of a zone begins", fields);
    }
    if (change.ended.includes(zone)) {
        state.log("info", "evacuation of a zone ends", fields);
    }
    if (change.begun.length + change.ended.length > 0) {
        state.markUpdatePending();
    }
}

/**
 * Tells whether the agent's zone is evacuated.
 *
 * @param state - state of the agent
 * @returns true while no task may be started on its worker
 */
export function isZoneEvacuated(state: AgentState): boolean {
    return state.evacuations.zones.includes(state.identity.availabilityZone);
}
