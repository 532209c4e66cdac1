/**
 * State that an entry keeps about each agent.
 */
import type { Incarnation, PeerAddress } from "@lovagepitch/types/identity";
import type { AgentLoad } from "@lovagepitch/types/peerMessage";

/** The current incarnation of one agent. */
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
    /** Number of sent tasks whose start no report has acknowledged. */
    readonly unacknowledgedTasks: number;
    /** Slots that the agent offered to this entry and that are unused. */
    readonly offeredSlots: number;
    readonly lastMessageAtMilliseconds: number;
    /** When the oldest message without a reply was sent; undefined when no reply is awaited. Any message is a reply. */
    readonly awaitingReplySinceMilliseconds: number | undefined;
    /** Sequence of the latest start or recall sent to this incarnation. */
    readonly startSequence: number;
    /** Until when no tasks are placed on the agent because it refused one for a temporary reason. */
    readonly blockedUntilMilliseconds: number;
    readonly isEjected: boolean;
    /** When an ejected agent may be probed with one task. */
    readonly probeAtMilliseconds: number;
    /** Time from the next probe to the one after it; doubles with each probe. */
    readonly probeIntervalMilliseconds: number;
    /** The agent did not reply in time; no tasks are placed on it until it sends a message. */
    readonly isUnresponsive: boolean;
}

/**
 * Estimates how many more tasks an agent could start immediately.
 *
 * @param agent - row with the agent's reported load and unacknowledged tasks
 * @returns free slots, offered ones included; may be negative
 */
export function estimateFreeSlots(agent: AgentRow): number {
    const load = agent.load;
    return load.slots - load.runningTasks - load.standingByTasks - agent.unacknowledgedTasks;
}
