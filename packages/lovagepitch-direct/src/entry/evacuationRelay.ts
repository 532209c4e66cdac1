/**
 * Evacuated availability zones at an entry: read from the store or named by an agent.
 */
import { findEvacuationChange, type ZoneEvacuations } from "../model/zoneEvacuations.js";
import type { EntryState } from "./entryState.js";

/**
 * Puts evacuations in force; a state that is not newer than the one in force is ignored.
 *
 * @param state - state of the entry
 * @param evacuations - received state; undefined when the message carried none
 * @param source - sender of the state
 */
export function receiveEvacuations(
    state: EntryState,
    evacuations: ZoneEvacuations | undefined,
    source: "store" | "agent",
): void {
    const change = findEvacuationChange(state.evacuations, evacuations);
    if (evacuations === undefined || change === undefined) {
        return;
    }
    state.evacuations = evacuations;
    const { revision } = evacuations;
    change.begun.forEach(zone => state.log("info", "evacuation of a zone begins", { zone, revision, source }));
    change.ended.forEach(zone => state.log("info", "evacuation of a zone ends", { zone, revision, source }));
    state.isPlacementDue ||= change.ended.length > 0;
}
