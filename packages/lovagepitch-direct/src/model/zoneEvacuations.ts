/**
 * Availability zones that the operator has evacuated: no task may be started on their workers until that is taken back.
 * Entries read them from the store; frames spread them to processes that the store does not serve.
 */

/** Evacuated zones as of one version of the store. */
export interface ZoneEvacuations {
    /**
     * Version of the store as of which the zones are complete; of two states, the one with the higher revision holds. 0
     * before the first one is known.
     */
    readonly revision: number;
    /** Names of the zones in ascending order. */
    readonly zones: readonly string[];
}

/** State of a process that has not learned of any evacuation. */
export const noEvacuations: ZoneEvacuations = { revision: 0, zones: [] };

/**
 * Tells whether two states name the same zones.
 *
 * @param left - a state
 * @param right - another state
 * @returns true when the zones are equal, whatever the revisions
 */
export function haveSameZones(left: ZoneEvacuations, right: ZoneEvacuations): boolean {
    return left.zones === right.zones
        || (left.zones.length === right.zones.length && left.zones.every((zone, index) => zone === right.zones[index]));
}

/**
 * Tells whether a peer has to be told a state.
 *
 * @param own - state of the sender
 * @param peer - state that the peer has named or was sent
 * @returns true when the peer has other zones, and the sender's state is newer
 */
export function isNoticeDue(own: ZoneEvacuations, peer: ZoneEvacuations): boolean {
    return own.revision > peer.revision && !haveSameZones(own, peer);
}

/** Zones that differ between two states. */
export interface EvacuationChange {
    readonly begun: readonly string[];
    readonly ended: readonly string[];
}

/**
 * Compares a received state with the one in force.
 *
 * @param current - state in force
 * @param received - received state; undefined when a message carried none
 * @returns the zones that change, or undefined when the received state is not newer
 */
export function findEvacuationChange(
    current: ZoneEvacuations,
    received: ZoneEvacuations | undefined,
): EvacuationChange | undefined {
    if (received === undefined || received.revision <= current.revision) {
        return undefined;
    }
    return {
        begun: received.zones.filter(zone => !current.zones.includes(zone)),
        ended: current.zones.filter(zone => !received.zones.includes(zone)),
    };
}
