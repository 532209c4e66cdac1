/**
 * One outgoing connection to a peer, with its message queue and its batches in flight.
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
    /** Nothing was sent for the idle timeout, or the process closes its links. */
    | "closed"
    /** No process listens at the destination. */
    | "refused"
    /** It could not be opened for a reason other than a refusal or a timeout. */
    | "failed"
    /** A batch or the opening handshake was not answered in time. */
    | "silent"
    /** It was open, and the peer or the network closed it. */
    | "lost";

/** Callbacks of a connection to the links that own it. */
export interface ConnectionListener {
    /** Creates a batch with this process as the sender. */
    readonly createBatch: (messages: readonly PeerMessage[]) => PeerBatch;
    /** Called when a reply has arrived; the reply is undefined when the peer had no messages to send. */
    readonly onReply: (connection: PeerConnection, reply: unknown) => void;
    /** Called when the connection has ended; its unanswered messages count as dropped. */
    readonly onEnd: (connection: PeerConnection, end: ConnectionEnd) => void;
}

/** An outgoing connection, which is not reopened once it has ended. */
export class PeerConnection {
    /** Resolves when the connection has ended. */
    public readonly whenEnded: Promise<void>;

    private readonly socket: WebSocket;
    private readonly client: TRPCClient<PeerRouter>;
    private queue: PeerMessage[] = [];
    /** Send times of the unanswered batches by batch number, oldest first, on the monotonic clock. */
    private readonly unacknowledgedBatches = new Map<number, number>();
    private nextBatchNumber = 1;
    private isAcknowledged = false;
    private hasEnded = false;
    private isClosing = false;
    private acknowledgementTimer: NodeJS.Timeout | undefined;
    private readonly idleTimer: NodeJS.Timeout;
    private resolveEnded: () => void = () => undefined;

    /**
     * @param destination - address of the peer
     * @param codec - encodes the frames
     * @param limits - limits of the queue, batches and timeouts
     * @param counters - counters to increase
     * @param listener - receives replies and the end of the connection
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

    /** True when no message is queued or unanswered. */
    public get isDrained(): boolean {
        return this.queue.length === 0 && this.unacknowledgedBatches.size === 0;
    }

    /** True when the peer has replied on this connection. */
    public get hasReceivedReply(): boolean {
        return this.isAcknowledged;
    }

    /**
     * Queues messages and sends as many as the limits allow.
     *
     * @param messages - the messages, in order
     * @returns the number of messages that were dropped because the queue was full
     */
    public send(messages: readonly PeerMessage[]): number {
        const freeCapacity = this.limits.maximumQueuedMessages - this.queue.length;
        this.queue.push(...messages.slice(0, freeCapacity));
        this.idleTimer.refresh();
        this.sendQueuedMessages();
        return Math.max(0, messages.length - freeCapacity);
    }

    /** Closes the connection once every message has been answered; the acknowledgement timeout limits the wait. */
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
            this.sendBatch(messages);
        }
    }

    private sendBatch(messages: readonly PeerMessage[]): void {
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
        // Splitting the batch in halves isolates the message that cannot be sent and keeps the others in order.
        const middle = Math.ceil(messages.length / 2);
        this.sendBatch(messages.slice(0, middle));
        this.sendBatch(messages.slice(middle));
    }

    private scheduleAcknowledgementCheck(): void {
        if (this.acknowledgementTimer !== undefined) {
            return;
        }
        const [oldest = performance.now()] = this.unacknowledgedBatches.values();
        const remaining = oldest + this.limits.acknowledgementTimeoutMilliseconds - performance.now();
        this.acknowledgementTimer = setTimeout(() => {
            // After a pause of the process, replies may be received but not yet read; they are processed first.
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
