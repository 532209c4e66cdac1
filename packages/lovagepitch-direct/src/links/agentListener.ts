/**
 * Listener of an entry for connections from agents, and from entries that pass jobs on.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import { createServer, type Server, type Socket } from "node:net";
import { type ClosingReason, ConnectionBudget } from "../connections/connectionBudget.js";
import type { ConnectionLimits } from "../connections/connectionLimits.js";
import type { ForwardingFrame } from "../model/forwarding.js";
import type { AgentFrame } from "../model/frames.js";
import { AgentConnection } from "./agentConnection.js";
import { isForwardingFrame } from "./forwardingGuards.js";
import { isAgentFrame } from "./frameGuards.js";
import { FrameStream, type StreamEnd } from "./frameStream.js";
import { FrameTotals } from "./frameTotals.js";
import { listenAt } from "./listenAt.js";
import {
    IncomingPeerFormat,
    type IncomingPeerFrame,
    OutgoingPeerFormat,
    type OutgoingPeerFrame,
} from "./peerFrameFormat.js";

type PeerStream = FrameStream<IncomingPeerFrame, OutgoingPeerFrame>;

/** Callbacks of the listener. */
export interface AgentListenerEvents {
    readonly onFrame: (connection: number, frame: AgentFrame) => void;
    readonly onForwardingFrame: (connection: number, frame: ForwardingFrame) => void;
    readonly onDisconnected: (connection: number, end: StreamEnd) => void;
    /** Called for each connection that is closed for the sake of the others, with the memory that it held, in bytes. */
    readonly onClosed: (reason: ClosingReason, heldBytes: number) => void;
}

/** Accepts connections from agents and exchanges frames on them. */
export class AgentListener {
    private readonly server: Server;
    /** Frames and bytes of all connections. */
    public readonly totals = new FrameTotals();
    private readonly streams = new Map<number, PeerStream>();
    private readonly budget: ConnectionBudget<AgentConnection>;
    private nextConnection = 1;

    /**
     * @param events - callbacks for received frames and closed connections
     * @param clock - monotonic clock
     * @param limits - limits of all connections together
     */
    public constructor(
        private readonly events: AgentListenerEvents,
        private readonly clock: Clock,
        limits: ConnectionLimits,
    ) {
        this.server = createServer(socket => this.accept(socket));
        this.budget = new ConnectionBudget(limits, (reason, { heldBytes }) => events.onClosed(reason, heldBytes));
    }

    /**
     * Starts listening.
     *
     * @param host - IP address to bind
     * @param port - TCP port; 0 for any free one
     * @returns the bound port; rejects when the address cannot be bound
     */
    public listen(host: string, port: number): Promise<number> {
        return listenAt(this.server, { host, port });
    }

    /**
     * Sends a frame, or drops it if the connection has been closed.
     *
     * @param connection - id of the connection
     * @param frame - frame to send
     */
    public send(connection: number, frame: OutgoingPeerFrame): void {
        this.streams.get(connection)?.send(frame);
    }

    /**
     * Closes a connection.
     *
     * @param connection - id of the connection
     */
    public closeOne(connection: number): void {
        this.streams.get(connection)?.close("the other entry is silent");
    }

    /** Sums the bytes of all connections that the operating system has not taken yet. */
    public countUnsentBytes(): number {
        let sum = 0;
        for (const stream of this.streams.values()) {
            sum += stream.unsentBytes;
        }
        return sum;
    }

    /** Closes every connection and stops listening. */
    public close(): void {
        this.server.close();
        for (const stream of [...this.streams.values()]) {
            stream.close("this entry stops");
        }
    }

    private accept(socket: Socket): void {
        const connection = this.nextConnection;
        this.nextConnection += 1;
        const protocol = {
            incoming: new IncomingPeerFormat(),
            outgoing: new OutgoingPeerFormat(),
            isFrame: isPeerFrame,
        };
        const stream: PeerStream = new FrameStream(socket, protocol, {
            onFrame: frame => {
                budgeted.recordFrame();
                if ("kind" in frame) {
                    this.events.onForwardingFrame(connection, frame);
                }
                else {
                    this.events.onFrame(connection, frame);
                }
            },
            onBytesProcessed: () => budgeted.updateHeldBytes(),
            onEnd: end => {
                this.budget.remove(budgeted);
                this.streams.delete(connection);
                this.events.onDisconnected(connection, end);
            },
        }, this.totals);
        const budgeted: AgentConnection = new AgentConnection(stream, this.clock, difference => {
            this.budget.change(budgeted, difference);
        });
        if (this.budget.add(budgeted)) {
            this.streams.set(connection, stream);
        }
    }
}

function isPeerFrame(value: unknown): value is IncomingPeerFrame {
    return isForwardingFrame(value) || (isAgentFrame(value) && !("kind" in value));
}
