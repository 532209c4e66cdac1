/**
 * Counters of the links between processes.
 */

/** Totals of a process's links since its start. */
export interface LinkCounters {
    readonly batchesSent: number;
    readonly batchesReceived: number;
    readonly messagesSent: number;
    readonly messagesReceived: number;
    /** Messages sent in the reply to a received batch. */
    readonly messagesPiggybacked: number;
    /** Messages that no connection accepted, or whose connection ended before a reply arrived. */
    readonly messagesDropped: number;
    readonly bytesSent: number;
    readonly bytesReceived: number;
    /** Connections opened to other processes. */
    readonly connectionsOpened: number;
    /** Opened connections that followed a failed connection to the same address. */
    readonly reconnects: number;
    /** Connections closed because a batch or the opening handshake was not answered in time. */
    readonly connectionsSilent: number;
    /** Connections that were refused because no process listens at the address. */
    readonly connectionsRefused: number;
    /** Connections that failed for another reason, or were closed by the peer or the network. */
    readonly connectionsFailed: number;
    /** Received batches and frames that were malformed or exceeded a limit. */
    readonly batchesRefused: number;
    /** Frames that could not be encoded within the size limit. */
    readonly framesUnsendable: number;
}

/** Writable form of the counters, for the links themselves. */
export type MutableLinkCounters = { -readonly [Name in keyof LinkCounters]: LinkCounters[Name] };

/**
 * Creates counters with all values at zero.
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
