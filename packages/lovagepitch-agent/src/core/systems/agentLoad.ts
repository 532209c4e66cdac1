/**
 * How full the agent is.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { AgentLoad } from "@lovagepitch/types/peerMessage";
import type { TickContext } from "./tickContext.js";

/** Different submissions that fail in a row before the backend server is suspect. */
const suspectThreshold = 3;

/**
 * Tells whether the backend server failed several submissions in a row.
 *
 * @param context - the tick
 * @returns true until a task succeeds
 */
export function isSuspect(context: TickContext): boolean {
    return (context.tables.backendServer?.failedSubmissions.length ?? 0) >= suspectThreshold;
}

/**
 * Tells whether the agent refuses starts for good or until its backend server is back.
 *
 * @param context - the tick
 * @returns true while the agent or its backend server leaves
 */
export function isLeaving(context: TickContext): boolean {
    const { agentState, backendServer } = context.tables;
    return agentState === "leaving" || agentState === "stopped" || backendServer?.state === "leaving";
}

/**
 * Reads the slots that the backend server offers.
 *
 * @param context - the tick
 * @returns a number of slots; 0 while there is no backend server
 */
export function countSlots(context: TickContext): number {
    const { backendServer } = context.tables;
    if (backendServer?.state !== "present") {
        return 0;
    }
    return Math.min(backendServer.offer.slots, backendServer.offer.connections);
}

/**
 * Counts the slots that a sender's tasks may take now.
 *
 * @param context - the tick
 * @param sender - an entry, or undefined for slots that are reserved for nobody
 * @returns a number of slots
 */
export function countFreeSlots(context: TickContext, sender?: PeerAddress): number {
    let reserved = 0;
    for (const offer of context.tables.offers.values()) {
        reserved += offer.address === sender ? 0 : offer.slots;
    }
    return Math.max(0, countSlots(context) - context.tables.runningTasks - reserved);
}

/**
 * Counts the tasks of a sender that the agent can take now, to start or to stand by.
 *
 * @param context - the tick
 * @param sender - an entry
 * @returns a number of tasks
 */
export function countAvailablePlaces(context: TickContext, sender: PeerAddress): number {
    const { offers, runningTasks, standingBy } = context.tables;
    let reserved = 0;
    for (const offer of offers.values()) {
        reserved += offer.address === sender ? 0 : offer.slots + offer.standByPlaces;
    }
    const places = countSlots(context) + context.settings.standByLimit;
    return places - runningTasks - standingBy.size - reserved;
}

/**
 * Describes the agent's load, for messages.
 *
 * @param context - the tick
 * @returns the load
 */
export function createAgentLoad(context: TickContext): AgentLoad {
    return {
        slots: countSlots(context),
        runningTasks: context.tables.runningTasks,
        standingByTasks: context.tables.standingBy.size,
        standByLimit: context.settings.standByLimit,
        suspect: isSuspect(context),
        leaving: isLeaving(context),
    };
}
