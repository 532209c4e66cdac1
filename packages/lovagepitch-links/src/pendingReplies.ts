/**
 * Replies to received batches, which are sent after the next tick.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { PeerBatch } from "@lovagepitch/types/peerMessage";
import { WebSocket } from "ws";

/** Reply that the sender of a batch waits for. */
interface PendingReply {
    readonly socket: WebSocket;
    readonly resolve: (batch: PeerBatch | undefined) => void;
}

/** Pending replies by sender, in the order in which the batches were received. */
export class PendingReplies {
    private readonly bySender = new Map<PeerAddress, PendingReply[]>();

    /**
     * Counts the replies that a sender waits for.
     *
     * @param sender - address of the sender
     * @returns the number of pending replies
     */
    public count(sender: PeerAddress): number {
        return this.bySender.get(sender)?.length ?? 0;
    }

    /**
     * Adds a reply that a sender waits for.
     *
     * @param sender - address of the sender
     * @param socket - connection on which the batch arrived
     * @returns the reply, once the next tick has run
     */
    public add(sender: PeerAddress, socket: WebSocket): Promise<PeerBatch | undefined> {
        return new Promise(resolve => {
            const replies = this.bySender.get(sender) ?? [];
            replies.push({ socket, resolve });
            this.bySender.set(sender, replies);
        });
    }

    /**
     * Resolves every pending reply.
     *
     * @param createBatch - creates the batch of messages to send in the reply to a sender, or undefined for none
     */
    public resolveAll(createBatch: (sender: PeerAddress) => PeerBatch | undefined): void {
        const pending = [...this.bySender];
        this.bySender.clear();
        for (const [sender, replies] of pending) {
            const openReply = replies.find(reply => reply.socket.readyState === WebSocket.OPEN);
            const batch = openReply === undefined ? undefined : createBatch(sender);
            for (const reply of replies) {
                reply.resolve(reply === openReply ? batch : undefined);
            }
        }
    }
}
