/**
 * One outgoing connection to a peer: its queue, its batches in flight, and its end.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { PeerBatch, PeerMessage } from "@lovagepitch/types/peerMessage";
import { createTRPCClient, type TRPCClient, TRPCClientError } from "@trpc/client";
import { WebSocket } from "ws";
import type { FrameCodec } from "./frameCodec.js";
import type { MutableLinkCounters } from "./linkCounters.js";
import { LinkError } from "./linkError.js";
import type { LinkLimits } from "./linkLimits.js";
import { peerPath } from "./peerListener.js";
import type { PeerRouter } from "./peerRouter.js";
import { SocketLink } from "./socketLink.js";

/** Why a connection ended. */
export type ConnectionEnd =
    /** Nothing was sent for the idle time, or the process closes its links. */
    | "closed"
    /** Nobody listens at the destination. */
    | "refused"
    /** It could not be opened for another reason than refusal or silence. */
    | "failed"
    /** A batch, or the opening handshake, got no reply in time. */
    | "silent"
    /** It had been open, and the other end or the network cut it. */
    | "lost";

/** What a connection tells its owner. */
export interface ConnectionListener {
    /** Makes a batch of this process's messages. */
    readonly createBatch: (messages: readonly PeerMessage[]) => PeerBatch;
    /** A reply arrived; it is undefined when the peer had nothing to say. */
    readonly onReply: (connection: PeerConnection, reply: unknown) => void;
    /** The connection ended; its messages without a reply are lost. */
    readonly onEnd: (connection: PeerConnection, end: ConnectionEnd) => void;
}

/** An outgoing connection; it is used until it ends and never opened again. */
export class PeerConnection {
    /** Resolves when the connection has ended. */
    public readonly whenEnded: Promise<void>;

    private readonly socket: WebSocket;
    private readonly client: TRPCClient<PeerRouter>;
    private queue: PeerMessage[] = [];
    /** Sending times of the batches without a reply, oldest first, on the monotonic clock. */
    private readonly unacknowledgedBatches = new Map<number, number>();
    private nextBatchNumber = 1;
    private isAcknowledged = false;
    private hasEnded = false;
    private isClosing = false;
    private acknowledgementTimer: NodeJS.Timeout | undefined;
    private readonly idleTimer: NodeJS.Timeout;
    private resolveEnded: () => void = () => undefined;

    /**
     * @param destination - where it goes
     * @param codec - encodes the frames
     * @param limits - bounds of queue, batches and times
     * @param counters - counts what happens
     * @param listener - is told of replies and of the end
     */
    public constructor(
        public readonly destination: PeerAddress,
        codec: FrameCodec,
        private readonly limits: LinkLimits,
        private readonly counters: MutableLinkCounters,
        private readonly listener: ConnectionListener,
    ) {
        this.whenEnded = new Promise(resolve => {
            this.resolveEnded = resolve;
        });
        this.socket = new WebSocket(`ws://${destination}${peerPath}`, {
            handshakeTimeout: limits.acknowledgementTimeoutMilliseconds,
            maxPayload: limits.maximumFrameBytes,
            perMessageDeflate: false,
            followRedirects: false,
        });
        const link = new SocketLink(this.socket, codec, () => {
            counters.batchesRefused += 1;
        });
        this.client = createTRPCClient<PeerRouter>({ links: [link.createLink()] });
        this.socket.on("open", () => this.sendQueuedMessages());
        this.socket.on("error", error => this.end(this.classifyError(error)));
        this.socket.on("close", () => this.end("lost"));
        this.idleTimer = setTimeout(() => this.closeWhenDrained(), limits.idleTimeoutMilliseconds);
    }

    /** True when every message so far has been replied to. */
    public get isDrained(): boolean {
        return this.queue.length === 0 && this.unacknowledgedBatches.size === 0;
    }

    /** True when the peer has replied on this connection. */
    public get hasReceivedReply(): boolean {
        return this.isAcknowledged;
    }

    /**
     * Queues messages and sends what may be sent.
     *
     * @param messages - the messages, in order
     * @returns the number of messages that found no room
     */
    public send(messages: readonly PeerMessage[]): number {
        const freeCapacity = this.limits.maximumQueuedMessages - this.queue.length;
        this.queue.push(...messages.slice(0, freeCapacity));
        this.idleTimer.refresh();
        this.sendQueuedMessages();
        return Math.max(0, messages.length - freeCapacity);
    }

    /** Closes the connection once every message has been replied to; silence ends the wait. */
    public closeWhenDrained(): void {
        this.isClosing = true;
        if (!this.isDrained && !this.hasEnded) {
            return;
        }
        this.end("closed");
    }

    private sendQueuedMessages(): void {
        while (
            this.socket.readyState === WebSocket.OPEN
            && this.queue.length > 0
            && this.unacknowledgedBatches.size < this.limits.maximumBatchesInFlight
        ) {
            const messages = this.queue.slice(0, this.limits.maximumBatchMessages);
            this.queue = this.queue.slice(messages.length);
            this.deliver(messages);
        }
    }

    private deliver(messages: readonly PeerMessage[]): void {
        const batch = this.nextBatchNumber;
        this.nextBatchNumber += 1;
        this.unacknowledgedBatches.set(batch, performance.now());
        this.scheduleAcknowledgementCheck();
        this.client.deliver.mutate(this.listener.createBatch(messages)).then(
            reply => {
                this.removeUnacknowledged(batch);
                this.countSent(messages.length);
                this.listener.onReply(this, reply);
            },
            (error: unknown) => {
                this.removeUnacknowledged(batch);
                this.handleFailure(messages, error);
            },
        ).finally(() => this.sendNextOrClose());
    }

    private removeUnacknowledged(batch: number): void {
        this.unacknowledgedBatches.delete(batch);
        this.idleTimer.refresh();
    }

    private sendNextOrClose(): void {
        if (this.hasEnded) {
            return;
        }
        this.sendQueuedMessages();
        if (this.isClosing && this.isDrained) {
            this.end("closed");
        }
    }

    private countSent(messages: number): void {
        this.isAcknowledged = true;
        this.counters.batchesSent += 1;
        this.counters.messagesSent += messages;
    }

    private handleFailure(messages: readonly PeerMessage[], error: unknown): void {
        const cause = error instanceof TRPCClientError ? error.cause : error;
        const canSplit = cause instanceof LinkError && cause.kind === "unsendable" && messages.length > 1;
        if (!canSplit || this.hasEnded) {
            this.counters.messagesDropped += messages.length;
            return;
        }
        // Halving finds the message that cannot be sent and keeps the others in order.
        const middle = Math.ceil(messages.length / 2);
        this.deliver(messages.slice(0, middle));
        this.deliver(messages.slice(middle));
    }

    private scheduleAcknowledgementCheck(): void {
        if (this.acknowledgementTimer !== undefined) {
            return;
        }
        const [oldest = performance.now()] = this.unacknowledgedBatches.values();
        const remaining = oldest + this.limits.acknowledgementTimeoutMilliseconds - performance.now();
        this.acknowledgementTimer = setTimeout(() => {
            // After a pause of the process the replies may be here but unread: let them in first.
            setImmediate(() => this.checkAcknowledgementTimeout());
        }, Math.max(0, remaining));
    }

    private checkAcknowledgementTimeout(): void {
        this.acknowledgementTimer = undefined;
        if (this.hasEnded || this.unacknowledgedBatches.size === 0) {
            return;
        }
        const [oldest = performance.now()] = this.unacknowledgedBatches.values();
        if (performance.now() - oldest >= this.limits.acknowledgementTimeoutMilliseconds) {
            this.end("silent");
            return;
        }
        this.scheduleAcknowledgementCheck();
    }

    private classifyError(error: Error): ConnectionEnd {
        if (this.socket.readyState === WebSocket.OPEN || this.isAcknowledged) {
            return "lost";
        }
        if (error.message.includes("handshake has timed out")) {
            return "silent";
        }
        return (error as NodeJS.ErrnoException).code === "ECONNREFUSED" ? "refused" : "failed";
    }

    private end(end: ConnectionEnd): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        clearTimeout(this.acknowledgementTimer);
        clearTimeout(this.idleTimer);
        this.counters.messagesDropped += this.queue.length;
        this.queue = [];
        this.socket.terminate();
        this.listener.onEnd(this, end);
        this.resolveEnded();
    }
}
