/**
 * Counters of the links between processes.
 */

/** What a process's links did since it started. */
export interface LinkCounters {
    readonly batchesSent: number;
    readonly batchesReceived: number;
    readonly messagesSent: number;
    readonly messagesReceived: number;
    /** Messages that rode on the reply to a received batch. */
    readonly messagesPiggybacked: number;
    /** Messages that were not handed to a connection, or whose connection ended before a reply came. */
    readonly messagesDropped: number;
    readonly bytesSent: number;
    readonly bytesReceived: number;
    /** Connections opened to other processes. */
    readonly connectionsOpened: number;
    /** Those of them that followed a connection that failed in any way to the same address. */
    readonly reconnects: number;
    /** Connections closed because a batch got no reply in time. */
    readonly connectionsSilent: number;
    /** Connections to addresses where nobody listens. */
    readonly connectionsRefused: number;
    /** Connections that failed for another reason, or were cut by the other end. */
    readonly connectionsFailed: number;
    /** Received batches and frames that were malformed or beyond a limit. */
    readonly batchesRefused: number;
    /** Frames that could not be encoded within their limit. */
    readonly framesUnsendable: number;
}

/** Counters as their owner changes them. */
export type MutableLinkCounters = { -readonly [Name in keyof LinkCounters]: LinkCounters[Name] };

/**
 * Makes counters at zero.
 *
 * @returns the counters
 */
export function createLinkCounters(): MutableLinkCounters {
    return {
        batchesSent: 0,
        batchesReceived: 0,
        messagesSent: 0,
        messagesReceived: 0,
        messagesPiggybacked: 0,
        messagesDropped: 0,
        bytesSent: 0,
        bytesReceived: 0,
        connectionsOpened: 0,
        reconnects: 0,
        connectionsSilent: 0,
        connectionsRefused: 0,
        connectionsFailed: 0,
        batchesRefused: 0,
        framesUnsendable: 0,
    };
}
