/**
 * The links of one process, which send and receive batches of messages over tRPC on WebSocket.
 */
import type { PeerAddress, PeerIdentity } from "@lovagepitch/types/identity";
import type { OutgoingMessage, PeerBatch, PeerMessage } from "@lovagepitch/types/peerMessage";
import type { Clock } from "@lovagepitch/utils/clock";
import type { Result } from "@lovagepitch/utils/result";
import { validateValue } from "@lovagepitch/utils/validateValue";
import type { WebSocket } from "ws";
import { CountingCodec } from "./countingCodec.js";
import { type FrameCodec, JsonFrameCodec } from "./frameCodec.js";
import { createLinkCounters, type LinkCounters } from "./linkCounters.js";
import { LinkError } from "./linkError.js";
import { defaultLinkLimits, type LinkLimits } from "./linkLimits.js";
import { peerBatchSchema } from "./peerBatchSchema.js";
import { type ConnectionEnd, type ConnectionListener, PeerConnection } from "./peerConnection.js";
import { type CreateStatusDocument, PeerListener } from "./peerListener.js";
import { createPeerRouter } from "./peerRouter.js";
import { PendingReplies } from "./pendingReplies.js";
import { UnreachablePeers } from "./unreachablePeers.js";

/** Options of the links of one process. */
export interface PeerLinksOptions {
    /** This process; when the address ends in port 0, the bound port replaces the 0. */
    readonly identity: PeerIdentity;
    readonly role: PeerBatch["role"];
    /** IP address to listen on. */
    readonly address: string;
    /** Port to listen on; 0 for any free one. */
    readonly port: number;
    readonly clock: Clock;
    /** Called immediately for each received batch, including batches in replies. */
    readonly onBatch: (batch: PeerBatch) => void;
    /** Called when a connection to an address was refused, or two in a row failed or were silent. */
    readonly onPeerUnreachable: (address: PeerAddress) => void;
    /** Returns the newest configuration version in force. */
    readonly getConfigurationVersion: () => number;
    readonly limits?: Partial<LinkLimits>;
    /** Creates the response of `GET /status` on the peer port; without it the port serves only peers. */
    readonly createStatusDocument?: CreateStatusDocument;
    /** Encoding of the frames, which must be the same in every process; JSON by default. */
    readonly codec?: FrameCodec;
}

/** Links of one process to its peers. */
export class PeerLinks {
    private readonly limits: LinkLimits;
    private readonly counts = createLinkCounters();
    private readonly codec: CountingCodec;
    private readonly listener: PeerListener;
    private readonly connections = new Map<PeerAddress, PeerConnection>();
    private readonly pendingReplies = new PendingReplies();
    private readonly unreachablePeers: UnreachablePeers;
    private readonly connectionListener: ConnectionListener;
    private currentIdentity: PeerIdentity;
    private isClosed = false;

    /**
     * @param options - the process's identity, its callbacks and its limits
     */
    public constructor(private readonly options: PeerLinksOptions) {
        this.limits = { ...defaultLinkLimits, ...options.limits };
        this.currentIdentity = options.identity;
        const codec = options.codec ?? new JsonFrameCodec(this.limits.maximumFrameBytes);
        this.codec = new CountingCodec(codec, this.counts);
        const router = createPeerRouter(
            value => this.parseBatch(value),
            (batch, socket) => this.acceptBatch(batch, socket),
        );
        this.listener = new PeerListener(router, this.codec, this.limits, options.createStatusDocument);
        this.unreachablePeers = new UnreachablePeers(
            options.clock,
            this.limits.unreachableReportIntervalMilliseconds,
            options.onPeerUnreachable,
        );
        this.connectionListener = {
            createBatch: messages => this.createBatch(messages),
            onReply: (connection, reply) => this.handleReply(connection, reply),
            onEnd: (connection, end) => this.handleConnectionEnd(connection, end),
        };
    }

    /** Totals since the links were created. */
    public get counters(): LinkCounters {
        return this.counts;
    }

    /** This process; its port is known once the links listen. */
    public get identity(): PeerIdentity {
        return this.currentIdentity;
    }

    /**
     * Starts accepting connections.
     *
     * @returns the bound port, or the error when the port could not be bound
     */
    public async listen(): Promise<Result<number, LinkError>> {
        const result = await this.listener.listen(this.options.address, this.options.port);
        if (result.ok) {
            this.completeIdentity(result.val);
        }
        return result;
    }

    /**
     * Sends all messages of one tick and answers the batches that were received before it.
     *
     * @param outgoing - the messages, in order
     */
    public send(outgoing: readonly OutgoingMessage[]): void {
        const byDestination = new Map<PeerAddress, PeerMessage[]>();
        for (const { destination, message } of outgoing) {
            const messages = byDestination.get(destination);
            if (messages === undefined) {
                byDestination.set(destination, [message]);
            }
            else {
                messages.push(message);
            }
        }
        this.pendingReplies.resolveAll(sender => this.takeReplyBatch(byDestination, sender));
        for (const [destination, messages] of byDestination) {
            this.sendToDestination(destination, messages);
        }
    }

    /**
     * Closes every connection after the replies to its sent batches have arrived or timed out.
     *
     * @returns a promise that resolves when every connection and the listener are closed
     */
    public async close(): Promise<void> {
        this.pendingReplies.resolveAll(() => undefined);
        this.isClosed = true;
        const ended = [...this.connections.values()].map(connection => connection.whenEnded);
        for (const connection of [...this.connections.values()]) {
            connection.closeWhenDrained();
        }
        await Promise.all(ended);
        await this.listener.close();
    }

    private completeIdentity(port: number): void {
        const { address, incarnation } = this.options.identity;
        if (address.endsWith(":0")) {
            this.currentIdentity = { address: `${address.slice(0, -2)}:${port}`, incarnation };
        }
    }

    private createBatch(messages: readonly PeerMessage[]): PeerBatch {
        return {
            sender: this.currentIdentity,
            role: this.options.role,
            configurationVersion: this.options.getConfigurationVersion(),
            messages,
        };
    }

    private parseBatch(value: unknown): PeerBatch {
        const parsed = validateValue(peerBatchSchema, value);
        if (parsed.err) {
            this.counts.batchesRefused += 1;
            throw new LinkError("malformed", "the batch does not fit its schema; run the same version at both ends");
        }
        return parsed.val;
    }

    private acceptBatch(batch: PeerBatch, socket: WebSocket): Promise<PeerBatch | undefined> {
        if (this.pendingReplies.count(batch.sender.address) >= this.limits.maximumPendingReplies) {
            this.counts.batchesRefused += 1;
            throw new LinkError("overloaded", "too many batches wait for a reply; send again later");
        }
        const reply = this.pendingReplies.add(batch.sender.address, socket);
        this.receiveBatch(batch);
        return reply;
    }

    private receiveBatch(batch: PeerBatch): void {
        this.counts.batchesReceived += 1;
        this.counts.messagesReceived += batch.messages.length;
        this.options.onBatch(batch);
    }

    private takeReplyBatch(byDestination: Map<PeerAddress, PeerMessage[]>, sender: PeerAddress): PeerBatch | undefined {
        const messages = byDestination.get(sender);
        const connection = this.connections.get(sender);
        // A reply must not overtake messages that are still in transit on the outgoing connection.
        if (messages === undefined || connection?.isDrained === false) {
            return undefined;
        }
        if (messages.length > this.limits.maximumBatchMessages) {
            return undefined;
        }
        byDestination.delete(sender);
        this.counts.messagesPiggybacked += messages.length;
        this.counts.messagesSent += messages.length;
        return this.createBatch(messages);
    }

    private sendToDestination(destination: PeerAddress, messages: readonly PeerMessage[]): void {
        const connection = this.connections.get(destination)
            ?? this.connect(destination, this.unreachablePeers.hasFailed(destination));
        this.counts.messagesDropped += connection?.send(messages) ?? messages.length;
    }

    private connect(destination: PeerAddress, isReconnect: boolean): PeerConnection | undefined {
        if (this.isClosed || this.connections.size >= this.limits.maximumConnections) {
            return undefined;
        }
        const connection = new PeerConnection(
            destination,
            this.codec,
            this.limits,
            this.counts,
            this.connectionListener,
        );
        this.connections.set(destination, connection);
        this.counts.connectionsOpened += 1;
        this.counts.reconnects += isReconnect ? 1 : 0;
        return connection;
    }

    private handleReply(connection: PeerConnection, reply: unknown): void {
        this.unreachablePeers.clearFailures(connection.destination);
        if (reply === undefined || reply === null) {
            return;
        }
        const parsed = validateValue(peerBatchSchema, reply);
        if (parsed.err) {
            this.counts.batchesRefused += 1;
            return;
        }
        this.receiveBatch(parsed.val);
    }

    private handleConnectionEnd(connection: PeerConnection, end: ConnectionEnd): void {
        const { destination } = connection;
        this.connections.delete(destination);
        switch (end) {
            case "closed":
                return;
            case "refused":
                this.counts.connectionsRefused += 1;
                this.unreachablePeers.recordRefusal(destination);
                return;
            case "silent":
                this.counts.connectionsSilent += 1;
                this.unreachablePeers.recordFailure(destination);
                return;
            case "failed":
                this.counts.connectionsFailed += 1;
                this.unreachablePeers.recordFailure(destination);
                return;
            case "lost":
                this.handleConnectionLoss(connection);
        }
    }

    private handleConnectionLoss(connection: PeerConnection): void {
        this.counts.connectionsFailed += 1;
        if (!connection.hasReceivedReply) {
            this.unreachablePeers.recordFailure(connection.destination);
            return;
        }
        if (!this.isClosed) {
            // If the peer's process has ended, its host refuses the new connection, and the peer is reported
            // immediately.
            this.connect(connection.destination, true);
        }
    }
}
