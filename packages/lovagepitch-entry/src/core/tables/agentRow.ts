/**
 * Agents as an entry knows them.
 */
import type { Incarnation, PeerAddress } from "@lovagepitch/types/identity";
import type { AgentLoad } from "@lovagepitch/types/peerMessage";

/** One agent's present incarnation. */
export interface AgentRow {
    readonly address: PeerAddress;
    readonly incarnation: Incarnation;
    readonly worker: string;
    readonly rack: string;
    readonly availabilityZone: string;
    readonly cores: number;
    readonly memoryMegabytes: number;
    readonly registrationNumber: number;
    readonly services: readonly string[];
    readonly load: AgentLoad;
    /** Tasks sent whose start no report has acknowledged yet. */
    readonly unacknowledgedTasks: number;
    /** Slots offered to this entry that it has not used yet. */
    readonly offeredSlots: number;
    readonly lastMessageAtMilliseconds: number;
    /** When the oldest message was sent that still waits for any sign of life; undefined when none does. */
    readonly awaitingReplySinceMilliseconds: number | undefined;
    /** Sequence of the latest start or recall sent to this incarnation. */
    readonly startSequence: number;
    /** The agent refused for a reason that takes a while to pass; nothing is placed there before. */
    readonly blockedUntilMilliseconds: number;
    readonly isEjected: boolean;
    /** When an ejected agent may be tried with one task again. */
    readonly probeAtMilliseconds: number;
    /** Time from the next probe to the one after it; doubles with each probe. */
    readonly probeIntervalMilliseconds: number;
    /** No sign of life for too long; nothing is placed there until it is heard. */
    readonly isUnresponsive: boolean;
}

/**
 * Estimates how many more tasks an agent could start at once.
 *
 * @param agent - the agent
 * @returns free slots, offered ones included; may be negative
 */
export function estimateFreeSlots(agent: AgentRow): number {
    const load = agent.load;
    return load.slots - load.runningTasks - load.standingByTasks - agent.unacknowledgedTasks;
}
