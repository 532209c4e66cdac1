/**
 * Connections of an entry to others that it passes jobs on to.
 */
import { connect } from "node:net";
import type { ForwardingFrame, ForwardingReply } from "../model/forwarding.js";
import { ForwardingFrameFormat, ForwardingReplyFormat } from "./forwardingFormat.js";
import { isForwardingReply } from "./forwardingGuards.js";
import { FrameStream, type StreamEnd } from "./frameStream.js";
import type { FrameTotals } from "./frameTotals.js";
import { splitAddress } from "./listenAt.js";

/** Callbacks of the connections. */
export interface ForwardingConnectionEvents {
    readonly onReply: (address: string, reply: ForwardingReply) => void;
    /** Called when a connection has ended or could not be opened, unless this end has closed it. */
    readonly onDisconnected: (address: string, end: StreamEnd) => void;
}

/** Maintains at most one connection to each entry. */
export class ForwardingConnections {
    private readonly streams = new Map<string, FrameStream<ForwardingReply, ForwardingFrame>>();

    /**
     * @param events - callbacks for received replies and ended connections
     * @param totals - counts the frames and bytes
     */
    public constructor(private readonly events: ForwardingConnectionEvents, private readonly totals: FrameTotals) {}

    /**
     * Opens a connection. What is sent before it is open waits for that.
     *
     * @param address - host and port of the other entry
     */
    public open(address: string): void {
        this.closeOne(address);
        const protocol = {
            incoming: new ForwardingReplyFormat(),
            outgoing: new ForwardingFrameFormat(),
            isFrame: isForwardingReply,
        };
        const stream: FrameStream<ForwardingReply, ForwardingFrame> = new FrameStream(
            connect(splitAddress(address)),
            protocol,
            {
                onFrame: reply => this.events.onReply(address, reply),
                onEnd: end => {
                    if (this.streams.get(address) === stream) {
                        this.streams.delete(address);
                        this.events.onDisconnected(address, end);
                    }
                },
            },
            this.totals,
        );
        this.streams.set(address, stream);
    }

    /**
     * Sends a frame, or drops it if there is no connection.
     *
     * @param address - host and port of the other entry
     * @param frame - frame to send
     */
    public send(address: string, frame: ForwardingFrame): void {
        this.streams.get(address)?.send(frame);
    }

    /**
     * Closes the connection to an entry, if there is one.
     *
     * @param address - host and port of the other entry
     */
    public closeOne(address: string): void {
        const stream = this.streams.get(address);
        this.streams.delete(address);
        stream?.close("no longer used");
    }

    /** Closes every connection. */
    public close(): void {
        [...this.streams.keys()].forEach(address => this.closeOne(address));
    }
}
