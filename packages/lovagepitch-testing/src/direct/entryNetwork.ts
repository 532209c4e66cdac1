/**
 * Simulated connections between entries, with fault injection.
 */
import type { EntryInput, EntryOutput } from "@lovagepitch/direct/entry/entryPorts";
import type { ManualClock } from "@lovagepitch/utils/clock";
import type { EventQueue } from "../harness/eventQueue.js";
import type { CoreHost } from "./coreHost.js";
import type { DirectRecord } from "./directRecord.js";
import { getAt } from "./getAt.js";
import type { DeliverInput, SilentDirection } from "./linkNetwork.js";

/** One-way latency, in milliseconds. */
const latencyMilliseconds = 1;

/** Numbers of these connections begin here, beyond those of agents' connections. */
const firstConnectionNumber = 1_000_000;

interface EntryConnection {
    readonly number: number;
    /** Entry that has opened it, and passes jobs on. */
    readonly client: number;
    readonly server: number;
    readonly clientIncarnation: number;
    readonly serverIncarnation: number;
    isOpen: boolean;
    isSilentToClient: boolean;
    isSilentToServer: boolean;
    /** Jobs that were passed on through it and that the server may have open. */
    readonly jobs: Set<string>;
}

/** Selects connections by the index of the entry that has opened them and of the other one. */
export type EntryConnectionFilter = (client: number, server: number) => boolean;

/** Connections that entries have opened to others. */
export class EntryNetwork {
    /** Submissions that entries have passed on. */
    public forwardedCount = 0;
    private readonly connections = new Map<number, EntryConnection>();
    /** Closed connections of which the server has not learned that. */
    private readonly unnoticed = new Map<number, EntryConnection>();
    private nextConnection = firstConnectionNumber;

    /**
     * @param clock - clock of the deployment
     * @param queue - event queue of the deployment
     * @param entries - processes of the entries
     * @param deliverInput - delivers an input to a process
     * @param record - records which jobs are passed on
     */
    public constructor(
        private readonly clock: ManualClock,
        private readonly queue: EventQueue,
        private readonly entries: readonly CoreHost<EntryInput, EntryOutput>[],
        private readonly deliverInput: DeliverInput,
        private readonly record: DirectRecord,
    ) {}

    /**
     * Performs an output that concerns connections between entries; others have no effect.
     *
     * @param entry - index of the entry
     * @param output - its output
     */
    public perform(entry: number, output: EntryOutput): void {
        switch (output.kind) {
            case "open-entry":
                return this.open(entry, Number(output.address));
            case "close-entry":
                return this.closeSome(
                    (client, server) => client === entry && server === Number(output.address),
                    "client",
                );
            case "close-connection": {
                this.endAtServer(this.unnoticed.get(output.connection));
                const connection = this.connections.get(output.connection);
                return connection === undefined ? undefined : this.close(connection, "server");
            }
            case "forwarding-frame": {
                this.forwardedCount += output.frame.submissions.length;
                const connection = this.find(entry, Number(output.address));
                for (const { job } of output.frame.submissions) {
                    connection?.jobs.add(job.id);
                    this.record.recordForwarding(entry, job.id, Number(output.address));
                }
                const input = {
                    kind: "forwarding-frame",
                    connection: connection?.number ?? 0,
                    frame: output.frame,
                } as const;
                this.deliver(connection, "server", input, () => {
                    output.frame.withdrawals.forEach(({ job }) => this.record.recordForwarding(entry, job, undefined));
                });
                return;
            }
            case "forwarding-reply": {
                const connection = this.connections.get(output.connection);
                const address = String(connection?.server);
                for (const { job } of connection === undefined ? [] : output.reply.answers) {
                    this.record.recordForwarding(connection?.client ?? 0, job, undefined);
                }
                this.deliver(connection, "client", { kind: "forwarding-reply", address, reply: output.reply });
                return;
            }
            default:
        }
    }

    /**
     * Closes connections; both ends learn of it, unless the connection is silent.
     *
     * @param matches - selects connections
     * @param closedBy - the end that closes them and needs no notification; undefined for a reset of both
     */
    public closeSome(matches: EntryConnectionFilter, closedBy?: "client" | "server"): void {
        for (const connection of [...this.connections.values()]) {
            if (matches(connection.client, connection.server)) {
                this.close(connection, closedBy);
            }
        }
    }

    /**
     * Makes open connections drop their data permanently without being closed. New connections work.
     *
     * @param matches - selects connections
     * @param direction - where frames are lost; agents stand for the entry that has opened the connection
     */
    public silence(matches: EntryConnectionFilter, direction: SilentDirection = "both"): void {
        for (const connection of this.connections.values()) {
            const isSilenced = matches(connection.client, connection.server);
            connection.isSilentToClient ||= isSilenced && direction !== "to-entry";
            connection.isSilentToServer ||= isSilenced && direction !== "to-agent";
        }
    }

    private find(client: number, server: number): EntryConnection | undefined {
        return [...this.connections.values()].find(other => other.client === client && other.server === server);
    }

    private open(client: number, server: number): void {
        const from = getAt(this.entries, client);
        const to = getAt(this.entries, server);
        if (from.isPartitioned || to.isPartitioned) {
            return;
        }
        if (!to.isRunning) {
            this.schedule(() => this.deliverInput(from, { kind: "entry-disconnected", address: String(server) }));
            return;
        }
        this.connections.set(this.nextConnection, {
            number: this.nextConnection,
            client,
            server,
            clientIncarnation: from.incarnation,
            serverIncarnation: to.incarnation,
            isOpen: true,
            isSilentToClient: false,
            isSilentToServer: false,
            jobs: new Set(),
        });
        this.nextConnection += 1;
    }

    private deliver(
        connection: EntryConnection | undefined,
        to: "client" | "server",
        input: EntryInput,
        onArrival: () => void = () => undefined,
    ): void {
        const isLost = (): boolean => {
            return connection === undefined || !connection.isOpen
                || (to === "client" ? connection.isSilentToClient : connection.isSilentToServer);
        };
        if (connection !== undefined && !isLost()) {
            this.schedule(() => {
                if (!isLost()) {
                    onArrival();
                    this.deliverInput(getAt(this.entries, connection[to]), input);
                }
            });
        }
    }

    private close(connection: EntryConnection, closedBy: "client" | "server" | undefined): void {
        connection.isOpen = false;
        this.connections.delete(connection.number);
        const { client, server, number } = connection;
        if (closedBy === "server") {
            this.endAtServer(connection);
        }
        else {
            this.unnoticed.set(number, connection);
        }
        const isAlive = (host: CoreHost<EntryInput, EntryOutput>, incarnation: number): boolean => {
            return host.isRunning && host.incarnation === incarnation;
        };
        this.schedule(() => {
            const host = getAt(this.entries, server);
            const hears = closedBy !== "server" && !connection.isSilentToServer;
            const isRunning = isAlive(host, connection.serverIncarnation);
            if (hears || !isRunning) {
                this.endAtServer(connection);
            }
            if (hears && isRunning) {
                this.deliverInput(host, { kind: "disconnected", connection: number });
            }
        });
        this.schedule(() => {
            const host = getAt(this.entries, client);
            const hears = closedBy !== "client" && !connection.isSilentToClient;
            if (hears && isAlive(host, connection.clientIncarnation)) {
                this.deliverInput(host, { kind: "entry-disconnected", address: String(server) });
            }
        });
    }

    /** Records that the server has none of the jobs open any more. */
    private endAtServer(connection: EntryConnection | undefined): void {
        if (connection !== undefined) {
            this.unnoticed.delete(connection.number);
            connection.jobs.forEach(job => this.record.recordForwarding(connection.client, job, undefined));
        }
    }

    private schedule(action: () => void): void {
        this.queue.schedule(this.clock.nowMilliseconds() + latencyMilliseconds, action, undefined);
    }
}
