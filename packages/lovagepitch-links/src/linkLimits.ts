/**
 * Limits of the links between processes.
 */

/** Timeouts and size limits of one process's links. */
export interface LinkLimits {
    /** Time without a reply to a batch after which a connection is closed as silent. */
    readonly acknowledgementTimeoutMilliseconds: number;
    /** Time without traffic after which the side that opened a connection closes it. */
    readonly idleTimeoutMilliseconds: number;
    /** Time without traffic after which the accepting side closes a connection; longer than the idle timeout. */
    readonly inboundIdleTimeoutMilliseconds: number;
    /** Shortest time between two reports that the same address is unreachable. */
    readonly unreachableReportIntervalMilliseconds: number;
    /** Largest number of connections, counted separately for each direction. */
    readonly maximumConnections: number;
    /** Largest number of messages queued for one destination. */
    readonly maximumQueuedMessages: number;
    /** Largest number of unanswered batches to one destination. */
    readonly maximumBatchesInFlight: number;
    /** Largest number of messages in one batch. */
    readonly maximumBatchMessages: number;
    /** Largest encoded size of one batch; it must exceed the size of any job that an entry accepts. */
    readonly maximumFrameBytes: number;
    /** Largest number of received batches of one sender that wait for the reply of the next tick. */
    readonly maximumPendingReplies: number;
}

/** Limits for the largest supported deployment. */
export const defaultLinkLimits: LinkLimits = {
    acknowledgementTimeoutMilliseconds: 250,
    idleTimeoutMilliseconds: 60_000,
    inboundIdleTimeoutMilliseconds: 150_000,
    unreachableReportIntervalMilliseconds: 200,
    maximumConnections: 4_096,
    maximumQueuedMessages: 20_000,
    maximumBatchesInFlight: 64,
    maximumBatchMessages: 2_000,
    maximumFrameBytes: 65 * 1024 * 1024,
    maximumPendingReplies: 256,
};
