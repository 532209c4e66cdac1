/**
 * Load and free capacity of the agent.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { AgentLoad } from "@lovagepitch/types/peerMessage";
import type { TickContext } from "./tickContext.js";

/** Consecutive failed submissions, each counted once, after which the backend server is suspect. */
const suspectThreshold = 3;

/**
 * Tells whether the backend server is suspect, because tasks of several submissions failed in a row.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @returns true when the number of failed submissions has reached the threshold; a success resets the number
 */
export function isSuspect(context: TickContext): boolean {
    return (context.tables.backendServer?.failedSubmissions.length ?? 0) >= suspectThreshold;
}

/**
 * Tells whether the agent refuses all starts because it or its backend server is leaving.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @returns true during and after a graceful shutdown, and until a leaving backend server announces itself again
 */
export function isLeaving(context: TickContext): boolean {
    const { agentState, backendServer } = context.tables;
    return agentState === "leaving" || agentState === "stopped" || backendServer?.state === "leaving";
}

/**
 * Counts the tasks that the backend server can run concurrently.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @returns the smaller of its slots and its connections; 0 without a present backend server
 */
export function countSlots(context: TickContext): number {
    const { backendServer } = context.tables;
    if (backendServer?.state !== "present") {
        return 0;
    }
    return Math.min(backendServer.announcement.slots, backendServer.announcement.connections);
}

/**
 * Counts the free slots that the tasks of an entry may use.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param sender - address of the entry; undefined counts only slots without a reservation
 * @returns the number of free slots, without those that are reserved for other entries
 */
export function countFreeSlots(context: TickContext, sender?: PeerAddress): number {
    let reserved = 0;
    for (const offer of context.tables.offers.values()) {
        reserved += offer.address === sender ? 0 : offer.slots;
    }
    return Math.max(0, countSlots(context) - context.tables.runningTasks - reserved);
}

/**
 * Counts the tasks of an entry that the agent can accept, either in a free slot or in its queue.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param sender - address of the entry
 * @returns the number of tasks; negative when the agent is overcommitted, for example after the backend server reduced
 *     its slots
 */
export function countAvailablePlaces(context: TickContext, sender: PeerAddress): number {
    const { offers, runningTasks, queuedTasks } = context.tables;
    let reserved = 0;
    for (const offer of offers.values()) {
        reserved += offer.address === sender ? 0 : offer.slots + offer.queuePlaces;
    }
    const places = countSlots(context) + context.settings.standByLimit;
    return places - runningTasks - queuedTasks.size - reserved;
}

/**
 * Creates the load that messages to entries carry.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @returns the agent's slots, tasks and health
 */
export function createAgentLoad(context: TickContext): AgentLoad {
    return {
        slots: countSlots(context),
        runningTasks: context.tables.runningTasks,
        standingByTasks: context.tables.queuedTasks.size,
        standByLimit: context.settings.standByLimit,
        suspect: isSuspect(context),
        leaving: isLeaving(context),
    };
}
