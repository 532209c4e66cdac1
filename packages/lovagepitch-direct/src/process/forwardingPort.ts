/**
 * Connections between this entry and others, in both directions, for jobs that are passed on.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import type { EntryInput, EntryOutput } from "../entry/entryPorts.js";
import type { AgentListener } from "../links/agentListener.js";
import { ForwardingConnections } from "../links/forwardingConnections.js";
import type { StreamEnd } from "../links/frameStream.js";

/** Output that concerns jobs that are passed on. */
export type ForwardingOutput = Extract<
    EntryOutput,
    {
        readonly kind: "open-entry" | "close-entry" | "forwarding-frame" | "forwarding-reply" | "close-connection";
    }
>;

/** Performs the outputs about jobs that are passed on, and passes what other entries reply to the core. */
export class ForwardingPort {
    private readonly connections: ForwardingConnections;

    /**
     * @param clock - monotonic clock
     * @param listener - listener at which the connections of other entries arrive
     * @param accept - passes an input to the core
     * @param onEnd - called with the end of each connection that this end has not closed
     */
    public constructor(
        clock: Clock,
        private readonly listener: AgentListener,
        accept: (input: EntryInput) => void,
        onEnd: (end: StreamEnd) => void,
    ) {
        this.connections = new ForwardingConnections({
            onReply: (address, reply) => {
                accept({ kind: "forwarding-reply", address, reply, receivedAt: clock.nowMilliseconds() });
            },
            onDisconnected: (address, end) => {
                onEnd(end);
                accept({ kind: "entry-disconnected", address });
            },
        }, listener.totals);
    }

    /**
     * Performs an output.
     *
     * @param output - output of the core
     */
    public perform(output: ForwardingOutput): void {
        switch (output.kind) {
            case "open-entry":
                return this.connections.open(output.address);
            case "close-entry":
                return this.connections.closeOne(output.address);
            case "forwarding-frame":
                return this.connections.send(output.address, output.frame);
            case "forwarding-reply":
                return this.listener.send(output.connection, output.reply);
            case "close-connection":
                this.listener.closeOne(output.connection);
        }
    }

    /** Closes every connection that this entry has opened. */
    public close(): void {
        this.connections.close();
    }
}
