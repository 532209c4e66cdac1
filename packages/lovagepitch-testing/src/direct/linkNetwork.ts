/**
 * Simulated connections between agents and entries, with fault injection.
 */
import type { AgentInput, AgentOutput } from "@lovagepitch/direct/agent/agentPorts";
import type { EntryInput, EntryOutput } from "@lovagepitch/direct/entry/entryPorts";
import type { CapacityRequest } from "@lovagepitch/direct/model/capacityRequest";
import type { AgentFrame, EntryFrame } from "@lovagepitch/direct/model/frames";
import type { OwnershipMessage } from "@lovagepitch/direct/model/jobOwnership";
import type { ManualClock } from "@lovagepitch/utils/clock";
import type { EventQueue } from "../harness/eventQueue.js";
import { BoundedLink } from "./boundedLink.js";
import type { CoreHost } from "./coreHost.js";
import { getAt } from "./getAt.js";

/** One-way latency. */
const linkLatencyMilliseconds = 1;

interface Connection {
    readonly number: number;
    readonly entry: number;
    readonly agent: number;
    /** Incarnation of the entry's process. */
    readonly incarnation: number;
    isOpen: boolean;
    /** Frames to the agent are lost. */
    isSilentToAgent: boolean;
    /** Frames to the entry are lost. */
    isSilentToEntry: boolean;
    /** Further latency of what the agent sends and of its end, in milliseconds; what was sent arrives after the end too. */
    delayToEntry: number;
}

/** Directions of a connection in which frames are lost. */
export type SilentDirection = "to-agent" | "to-entry" | "both";

/** What happens to a datagram on its way. */
export interface DatagramFault {
    /** Number of copies that arrive; 0 for a lost one. */
    readonly copies: number;
    readonly delayMilliseconds: number;
    /** Further latency of one more copy, in milliseconds. */
    readonly lateCopyMilliseconds?: number;
}

const soundDatagram: DatagramFault = { copies: 1, delayMilliseconds: 0 };

/** Delivers an input to a process. */
export type DeliverInput = <Input, Output>(host: CoreHost<Input, Output>, input: Input) => void;

/** Connections that agents have opened to entries. */
export class LinkNetwork {
    /** Frames that entries and agents have sent. */
    public frameCount = 0;
    /** Those of them that carried a configuration. */
    public configurationCount = 0;
    /** Requests for capacity that entries have sent. */
    public requestCount = 0;
    private readonly connections = new Map<number, Connection>();
    /** Open connections by entry and agent. */
    private readonly connectionsByEnds = new Map<string, Connection>();
    /** Further latency of frames from agents to entries, in milliseconds. */
    public delayToEntries = 0;
    /** Messages about open jobs that entries have sent. */
    public readonly ownershipMessages: OwnershipMessage[] = [];
    /** Number of copies in which such a message arrives, and its further latency, by sender, message and receiver. */
    public datagramFault: (from: number, message: OwnershipMessage, to: number) => DatagramFault = () => soundDatagram;
    private readonly entryLinks = new Map<number, BoundedLink>();
    private nextConnection = 1;

    /**
     * @param clock - clock of the deployment
     * @param queue - event queue of the deployment
     * @param entries - processes of the entries
     * @param agents - processes of the agents
     * @param deliverInput - delivers an input to a process
     */
    public constructor(
        private readonly clock: ManualClock,
        private readonly queue: EventQueue,
        private readonly entries: readonly CoreHost<EntryInput, EntryOutput>[],
        private readonly agents: readonly CoreHost<AgentInput, AgentOutput>[],
        private readonly deliverInput: DeliverInput,
    ) {}

    /**
     * Sends a frame from an entry to an agent. It is lost if the connection is closed or silent.
     *
     * @param connectionNumber - number of the connection
     * @param frame - frame to send
     */
    public sendToAgent(connectionNumber: number, frame: EntryFrame): void {
        this.countFrame(frame);
        const connection = this.connections.get(connectionNumber);
        if (connection === undefined) {
            return;
        }
        const link = this.entryLinks.get(connection.entry);
        const queueMilliseconds = link?.send(connection.number, frame) ?? 0;
        this.scheduleDelivery(connection, () => !connection.isOpen || connection.isSilentToAgent, () => {
            link?.recordArrival(frame);
            this.deliverToAgent(connection, frame);
        }, queueMilliseconds);
    }

    /**
     * Sends a frame from an agent to an entry. It is lost if there is no open connection or if it is silent.
     *
     * @param agent - index of the agent
     * @param entry - index of the entry
     * @param frame - frame to send
     */
    public sendToEntry(agent: number, entry: number, frame: AgentFrame): void {
        this.countFrame(frame);
        const connection = this.connectionsByEnds.get(formatEnds(entry, agent));
        if (connection === undefined) {
            return;
        }
        const { delayToEntry } = connection;
        const isLost = (): boolean => {
            const isClosed = delayToEntry === 0 ? !connection.isOpen : this.hasEntryEnded(connection);
            return isClosed || connection.isSilentToEntry;
        };
        const onArrival = (): void => this.deliverToEntry(connection, frame);
        this.scheduleDelivery(connection, isLost, onArrival, this.delayToEntries + delayToEntry);
    }

    /**
     * Bounds the rate of an entry's outgoing link, on which frames to all agents and answers to callers wait in one queue.
     *
     * @param entry - index of the entry
     * @param bytesPerSecond - rate of the link
     * @returns the link, which counts what it carries
     */
    public limitRate(entry: number, bytesPerSecond: number): BoundedLink {
        const link = new BoundedLink(this.clock, bytesPerSecond);
        this.entryLinks.set(entry, link);
        return link;
    }

    /**
     * Sends an answer to a caller.
     *
     * @param entry - index of the entry
     */
    public sendAnswer(entry: number): void {
        this.entryLinks.get(entry)?.sendAnswer();
    }

    /**
     * Makes open connections drop their data permanently without being closed. New connections work.
     *
     * @param matches - selects connections by index of entry and agent
     * @param direction - where frames are lost
     */
    public silence(matches: (entry: number, agent: number) => boolean, direction: SilentDirection = "both"): void {
        for (const connection of this.connections.values()) {
            const isSilenced = matches(connection.entry, connection.agent);
            connection.isSilentToAgent ||= isSilenced && direction !== "to-entry";
            connection.isSilentToEntry ||= isSilenced && direction !== "to-agent";
        }
    }

    /**
     * Delays what agents send on open connections. When such a connection is replaced, the entry receives the rest of
     * its frames, and then its end, after the first frames of the next one.
     *
     * @param matches - selects connections by index of entry and agent
     * @param milliseconds - further latency, in milliseconds
     */
    public delayToEntry(matches: (entry: number, agent: number) => boolean, milliseconds: number): void {
        for (const connection of this.connections.values()) {
            if (matches(connection.entry, connection.agent)) {
                connection.delayToEntry = Math.max(connection.delayToEntry, milliseconds);
            }
        }
    }

    /**
     * Counts open connections.
     *
     * @param matches - selects connections by index of entry and agent
     * @returns number of selected connections
     */
    public count(matches: (entry: number, agent: number) => boolean): number {
        return [...this.connections.values()].filter(({ entry, agent }) => matches(entry, agent)).length;
    }

    /**
     * Opens a connection from an agent to an entry and closes an earlier one between the two.
     *
     * @param agent - index of the agent
     * @param entry - index of the entry
     */
    public connect(agent: number, entry: number): void {
        const earlier = this.connectionsByEnds.get(formatEnds(entry, agent));
        if (earlier !== undefined) {
            this.closeConnection(earlier, true);
        }
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
        const connection = {
            number: this.nextConnection,
            entry,
            agent,
            incarnation: host.incarnation,
            isOpen: true,
            isSilentToAgent: false,
            isSilentToEntry: false,
            delayToEntry: 0,
        };
        this.connections.set(connection.number, connection);
        this.connectionsByEnds.set(formatEnds(entry, agent), connection);
        this.nextConnection += 1;
        this.scheduleAfterLatency(() => this.deliverInput(getAt(this.agents, agent), { kind: "connected", address }));
    }

    /**
     * Closes connections and notifies both ends.
     *
     * @param matches - selects connections by index of entry and agent
     * @param byAgent - true if the agent closes them and needs no notification
     */
    public close(matches: (entry: number, agent: number) => boolean, byAgent = false): void {
        for (const connection of [...this.connections.values()]) {
            if (matches(connection.entry, connection.agent)) {
                this.closeConnection(connection, byAgent);
            }
        }
    }

    /**
     * Sends a request for capacity from one entry to another as a datagram; it is lost when either is partitioned.
     *
     * @param from - index of the sending entry
     * @param to - index of the receiving entry
     * @param request - request to send
     */
    public sendRequest(from: number, to: number, request: CapacityRequest): void {
        this.requestCount += 1;
        const isLost = (entry: number): boolean => getAt(this.entries, entry).isPartitioned;
        if (!isLost(from) && !isLost(to)) {
            this.scheduleAfterLatency(() =>
                this.deliverInput(getAt(this.entries, to), { kind: "capacity-requested", request })
            );
        }
    }

    /**
     * Sends a message about open jobs from one entry to another as a datagram; it is lost when either is partitioned.
     *
     * @param from - index of the sending entry
     * @param to - index of the receiving entry
     * @param message - message to send
     */
    public sendOwnership(from: number, to: number, message: OwnershipMessage): void {
        this.ownershipMessages.push(message);
        const isPartitioned = (entry: number): boolean => getAt(this.entries, entry).isPartitioned;
        const { copies, delayMilliseconds, lateCopyMilliseconds } = this.datagramFault(from, message, to);
        const delays = Array.from({ length: copies }, () => delayMilliseconds);
        for (const milliseconds of lateCopyMilliseconds === undefined ? delays : [...delays, lateCopyMilliseconds]) {
            if (!isPartitioned(from)) {
                this.scheduleAfterLatency(() => {
                    if (!isPartitioned(to)) {
                        this.deliverInput(getAt(this.entries, to), {
                            kind: "ownership",
                            message,
                            receivedAt: this.clock.nowMilliseconds(),
                        });
                    }
                }, milliseconds);
            }
        }
    }

    private closeConnection(connection: Connection, byAgent: boolean): void {
        connection.isOpen = false;
        this.connections.delete(connection.number);
        this.connectionsByEnds.delete(formatEnds(connection.entry, connection.agent));
        this.scheduleAfterLatency(() => {
            if (!this.hasEntryEnded(connection)) {
                this.deliverInput(getAt(this.entries, connection.entry), {
                    kind: "disconnected",
                    connection: connection.number,
                });
            }
        }, connection.delayToEntry);
        this.scheduleAfterLatency(() => {
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

    private countFrame({ configuration }: AgentFrame | EntryFrame): void {
        this.frameCount += 1;
        this.configurationCount += configuration.configuration === undefined ? 0 : 1;
    }

    /** Tells whether the entry's process at the end of a connection has ended. */
    private hasEntryEnded({ entry, incarnation }: Connection): boolean {
        const host = getAt(this.entries, entry);
        return !host.isRunning || host.incarnation !== incarnation;
    }

    private scheduleDelivery(
        connection: Connection,
        isLost: () => boolean,
        onArrival: () => void,
        queueMilliseconds: number,
    ): void {
        if (connection.isOpen && !isLost()) {
            this.scheduleAfterLatency(() => {
                if (!isLost()) {
                    onArrival();
                }
            }, queueMilliseconds);
        }
    }

    private deliverToAgent(connection: Connection | undefined, frame: EntryFrame): void {
        if (connection !== undefined) {
            this.deliverInput(getAt(this.agents, connection.agent), {
                kind: "frame",
                address: String(connection.entry),
                frame,
                receivedAt: this.clock.nowMilliseconds(),
            });
        }
    }

    private deliverToEntry(connection: Connection | undefined, frame: AgentFrame): void {
        if (connection !== undefined) {
            this.deliverInput(getAt(this.entries, connection.entry), {
                kind: "frame",
                connection: connection.number,
                frame,
                receivedAt: this.clock.nowMilliseconds(),
            });
        }
    }

    private scheduleAfterLatency(action: () => void, queueMilliseconds = 0): void {
        const arrivesAt = this.clock.nowMilliseconds() + linkLatencyMilliseconds + queueMilliseconds;
        this.queue.schedule(arrivesAt, action, undefined);
    }
}

function formatEnds(entry: number, agent: number): string {
    return `${entry} ${agent}`;
}
