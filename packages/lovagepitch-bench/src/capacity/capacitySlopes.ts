/**
 * Slopes that the figures of the large deployment rest on, by the experiment that gives them.
 */

/** Costs of one unit each. */
export interface CapacitySlopes {
    /** `agent-load`, the row nearest to the target's starts a second at one agent. */
    readonly agentMicrosecondsPerStart: number;
    readonly peerBytesPerStart: number;
    readonly messagesPerStart: number;
    /** `entry-jobs`, between jobs of 4 and of 32 tasks. */
    readonly entryMicrosecondsPerStart: number;
    /** `platform-requests`. */
    readonly listingBytesPerAgent: number;
    /** `dead-entry-sweep`, for each agent and submission. */
    readonly sweepMessages: number;
    readonly sweepBytes: number;
    readonly sweepMicroseconds: number;
}

/** Slopes of the present code. */
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
