/**
 * Connections of an agent to entries.
 */
import { connect } from "node:net";
import type { AgentFrame, EntryFrame } from "../model/frames.js";
import { AgentFrameFormat } from "./agentFrameFormat.js";
import { EntryFrameFormat } from "./entryFrameFormat.js";
import { isEntryFrame } from "./frameGuards.js";
import { FrameStream, type StreamEnd } from "./frameStream.js";
import { FrameTotals } from "./frameTotals.js";
import { splitAddress } from "./listenAt.js";

/** Callbacks of the connections. */
export interface EntryConnectionEvents {
    readonly onConnected: (address: string) => void;
    readonly onFrame: (address: string, frame: EntryFrame) => void;
    readonly onDisconnected: (address: string, end: StreamEnd) => void;
}

/** Maintains at most one connection to each entry. */
export class EntryConnections {
    /** Frames and bytes of all connections. */
    public readonly totals = new FrameTotals();
    private readonly streams = new Map<string, FrameStream<EntryFrame, AgentFrame>>();

    /**
     * @param events - callbacks for opened connections, received frames and closed connections
     */
    public constructor(private readonly events: EntryConnectionEvents) {}

    /**
     * Opens a connection. An earlier connection to the address is closed first, and its unsent data is discarded.
     *
     * @param address - host and port of the entry
     */
    public open(address: string): void {
        const earlier = this.streams.get(address);
        this.streams.delete(address);
        earlier?.close("replaced by a new connection");
        const socket = connect(splitAddress(address));
        const protocol = { incoming: new EntryFrameFormat(), outgoing: new AgentFrameFormat(), isFrame: isEntryFrame };
        const stream: FrameStream<EntryFrame, AgentFrame> = new FrameStream(socket, protocol, {
            onFrame: frame => this.events.onFrame(address, frame),
            onEnd: end => {
                if (this.streams.get(address) === stream) {
                    this.streams.delete(address);
                    this.events.onDisconnected(address, end);
                }
            },
        }, this.totals);
        this.streams.set(address, stream);
        socket.once("connect", () => {
            if (this.streams.get(address) === stream) {
                this.events.onConnected(address);
            }
        });
    }

    /**
     * Sends a frame, or drops it if there is no connection.
     *
     * @param address - host and port of the entry
     * @param frame - frame to send
     */
    public send(address: string, frame: AgentFrame): void {
        this.streams.get(address)?.send(frame);
    }

    /**
     * Closes the connection to an entry, if there is one.
     *
     * @param address - host and port of the entry
     */
    public closeOne(address: string): void {
        const stream = this.streams.get(address);
        this.streams.delete(address);
        stream?.close("no longer used");
    }

    /** Closes every connection. */
    public close(): void {
        for (const stream of [...this.streams.values()]) {
            stream.close("this agent stops");
        }
    }
}
