/**
 * The connections between agents and entries, with their faults.
 */
import type { AgentInput, AgentOutput } from "@lovagepitch/direct/agent/agentPorts";
import type { EntryInput, EntryOutput } from "@lovagepitch/direct/entry/entryPorts";
import type { AgentFrame, EntryFrame } from "@lovagepitch/direct/model/frames";
import type { ManualClock } from "@lovagepitch/utils/clock";
import type { EventQueue } from "../harness/eventQueue.js";
import type { CoreHost } from "./coreHost.js";
import { getAt } from "./getAt.js";

/** One way, in milliseconds. */
const linkLatencyMilliseconds = 1;

interface Connection {
    readonly number: number;
    readonly entry: number;
    readonly agent: number;
    isOpen: boolean;
    isSilent: boolean;
}

/** Hands an input to a process. */
export type DeliverInput = <Input, Output>(host: CoreHost<Input, Output>, input: Input) => void;

/** Connections that agents open. */
export class LinkNetwork {
    private connections: Connection[] = [];
    private nextConnection = 1;

    /**
     * @param clock - the deployment's clock
     * @param queue - its events
     * @param entries - the entries' processes
     * @param agents - the agents' processes
     * @param deliverInput - hands an input to a process
     */
    public constructor(
        private readonly clock: ManualClock,
        private readonly queue: EventQueue,
        private readonly entries: readonly CoreHost<EntryInput, EntryOutput>[],
        private readonly agents: readonly CoreHost<AgentInput, AgentOutput>[],
        private readonly deliverInput: DeliverInput,
    ) {}

    /**
     * Carries a frame of an entry.
     *
     * @param connectionNumber - the connection
     * @param frame - the frame
     */
    public sendToAgent(connectionNumber: number, frame: EntryFrame): void {
        const connection = this.connections.find(other => other.number === connectionNumber);
        this.scheduleDelivery(connection, () => this.deliverToAgent(connection, frame));
    }

    /**
     * Carries a frame of an agent.
     *
     * @param agent - number of the agent
     * @param entry - number of the entry
     * @param frame - the frame
     */
    public sendToEntry(agent: number, entry: number, frame: AgentFrame): void {
        const connection = this.connections.find(other => other.agent === agent && other.entry === entry);
        this.scheduleDelivery(connection, () => this.deliverToEntry(connection, frame));
    }

    /**
     * Has connections go silent for good; new ones work.
     *
     * @param matches - tells which
     */
    public silence(matches: (entry: number, agent: number) => boolean): void {
        for (const connection of this.connections) {
            connection.isSilent ||= matches(connection.entry, connection.agent);
        }
    }

    /**
     * Opens a connection; an earlier one between the two is closed.
     *
     * @param agent - number of the agent
     * @param entry - number of the entry
     */
    public connect(agent: number, entry: number): void {
        this.close((otherEntry, otherAgent) => otherAgent === agent && otherEntry === entry, true);
        const host = getAt(this.entries, entry);
        const address = String(entry);
        if (host.isPartitioned || getAt(this.agents, agent).isPartitioned) {
            return;
        }
        if (!host.isRunning) {
            this.scheduleAfterLatency(() =>
                this.deliverInput(getAt(this.agents, agent), { kind: "disconnected", address, wasRefused: true })
            );
            return;
        }
        this.connections.push({ number: this.nextConnection, entry, agent, isOpen: true, isSilent: false });
        this.nextConnection += 1;
        this.scheduleAfterLatency(() => this.deliverInput(getAt(this.agents, agent), { kind: "connected", address }));
    }

    /**
     * Closes connections.
     *
     * @param matches - tells which
     * @param byAgent - true when the agent closes them, which it need not be told
     */
    public close(matches: (entry: number, agent: number) => boolean, byAgent = false): void {
        for (const connection of this.connections.filter(other => matches(other.entry, other.agent))) {
            connection.isOpen = false;
            this.scheduleAfterLatency(() => {
                this.deliverInput(getAt(this.entries, connection.entry), {
                    kind: "disconnected",
                    connection: connection.number,
                });
                if (!byAgent) {
                    const address = String(connection.entry);
                    this.deliverInput(getAt(this.agents, connection.agent), {
                        kind: "disconnected",
                        address,
                        wasRefused: false,
                    });
                }
            });
        }
        this.connections = this.connections.filter(connection => connection.isOpen);
    }

    private scheduleDelivery(connection: Connection | undefined, onArrival: () => void): void {
        if (connection !== undefined && connection.isOpen && !connection.isSilent) {
            this.scheduleAfterLatency(() => {
                if (connection.isOpen && !connection.isSilent) {
                    onArrival();
                }
            });
        }
    }

    private deliverToAgent(connection: Connection | undefined, frame: EntryFrame): void {
        if (connection !== undefined) {
            this.deliverInput(getAt(this.agents, connection.agent), {
                kind: "frame",
                address: String(connection.entry),
                frame,
            });
        }
    }

    private deliverToEntry(connection: Connection | undefined, frame: AgentFrame): void {
        if (connection !== undefined) {
            this.deliverInput(getAt(this.entries, connection.entry), {
                kind: "frame",
                connection: connection.number,
                frame,
            });
        }
    }

    private scheduleAfterLatency(action: () => void): void {
        this.queue.schedule(this.clock.nowMilliseconds() + linkLatencyMilliseconds, action, undefined);
    }
}
