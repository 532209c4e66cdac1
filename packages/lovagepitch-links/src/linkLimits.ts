/**
 * Bounds of the links between processes.
 */

/** Times and sizes that bound one process's links. */
export interface LinkLimits {
    /** Time without a reply after which a connection counts as silent. */
    readonly acknowledgementTimeoutMilliseconds: number;
    /** Time without traffic after which the side that opened a connection closes it. */
    readonly idleTimeoutMilliseconds: number;
    /** Time without traffic after which the accepting side closes a connection; longer than the idle time. */
    readonly inboundIdleTimeoutMilliseconds: number;
    /** Least time between two reports that the same address is unreachable. */
    readonly unreachableReportIntervalMilliseconds: number;
    /** Connections, counted for each direction on its own. */
    readonly maximumConnections: number;
    /** Messages that wait for one destination. */
    readonly maximumQueuedMessages: number;
    /** Batches to one destination that have no reply yet. */
    readonly maximumBatchesInFlight: number;
    /** Messages in one batch. */
    readonly maximumBatchMessages: number;
    /** Encoded size of one batch; larger than any job that an entry accepts. */
    readonly maximumFrameBytes: number;
    /** Received batches of one sender that wait for the next tick's reply. */
    readonly maximumPendingReplies: number;
}

/** Limits for the largest deployment that the design aims at. */
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
