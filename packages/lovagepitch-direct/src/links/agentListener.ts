/**
 * The entry's end of the connections to agents.
 */
import { createServer, type Server, type Socket } from "node:net";
import type { AgentFrame, EntryFrame } from "../model/frames.js";
import { isAgentFrame } from "./frameGuards.js";
import { FrameStream } from "./frameStream.js";
import { listenAt } from "./listenAt.js";

/** What the listener tells its entry. */
export interface AgentListenerEvents {
    readonly onFrame: (connection: number, frame: AgentFrame) => void;
    readonly onDisconnected: (connection: number, reason: string) => void;
}

/** Accepts agents' connections. */
export class AgentListener {
    private readonly server: Server;
    private readonly streams = new Map<number, FrameStream<AgentFrame, EntryFrame>>();
    private nextConnection = 1;

    /**
     * @param events - is told of frames and of ends
     */
    public constructor(private readonly events: AgentListenerEvents) {
        this.server = createServer(socket => this.accept(socket));
    }

    /**
     * Starts to listen.
     *
     * @param host - IP number
     * @param port - TCP port; 0 for any free one
     * @returns the port; rejects when it cannot be bound
     */
    public listen(host: string, port: number): Promise<number> {
        return listenAt(this.server, { host, port });
    }

    /**
     * Sends a frame.
     *
     * @param connection - where to
     * @param frame - the frame; it is dropped when the connection has ended
     */
    public send(connection: number, frame: EntryFrame): void {
        this.streams.get(connection)?.send(frame);
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
        const stream = new FrameStream<AgentFrame, EntryFrame>(socket, isAgentFrame, {
            onFrame: frame => this.events.onFrame(connection, frame),
            onEnd: (_refused, reason) => {
                this.streams.delete(connection);
                this.events.onDisconnected(connection, reason);
            },
        });
        this.streams.set(connection, stream);
    }
}
