/**
 * Measured costs per unit that the estimates for the large deployment use, and the experiment behind each of them.
 */

/** Costs per task start, per agent, and per agent and submission. */
export interface CapacitySlopes {
    /** From `agent-load`, the row nearest to the target's starts per second at one agent. */
    readonly agentMicrosecondsPerStart: number;
    readonly peerBytesPerStart: number;
    readonly messagesPerStart: number;
    /** From `entry-jobs`, between jobs of 4 and of 32 tasks. */
    readonly entryMicrosecondsPerStart: number;
    /** From `platform-requests`. */
    readonly listingBytesPerAgent: number;
    /** From `dead-entry-sweep`, per agent and submission. */
    readonly sweepMessages: number;
    readonly sweepBytes: number;
    readonly sweepMicroseconds: number;
}

/** Costs of the current code. */
export const capacitySlopes: CapacitySlopes = {
    agentMicrosecondsPerStart: 6_127,
    peerBytesPerStart: 1_904,
    messagesPerStart: 4,
    entryMicrosecondsPerStart: 1_250,
    listingBytesPerAgent: 296.7,
    sweepMessages: 1.588,
    sweepBytes: 498.5,
    sweepMicroseconds: 163.5,
};
