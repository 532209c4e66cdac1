/**
 * Counts of messages in a simulated deployment.
 */
import type { PeerBatch, PeerMessage } from "@lovagepitch/types/peerMessage";

/** Numbers of messages that were sent, by type. */
export class MessageCounts {
    private readonly countsByType = new Map<PeerMessage["type"], number>();
    private batchCount = 0;
    private requestCount = 0;
    private answerCount = 0;

    /** Number of batches sent between processes; each batch is one message on the network. */
    public get batches(): number {
        return this.batchCount;
    }

    /** Number of caller requests, including requests for submission ids. */
    public get callerRequests(): number {
        return this.requestCount;
    }

    /** Number of answers to callers. */
    public get callerAnswers(): number {
        return this.answerCount;
    }

    /**
     * Counts a batch and its messages.
     *
     * @param batch - batch that was sent
     */
    public countBatch(batch: PeerBatch): void {
        this.batchCount += 1;
        for (const message of batch.messages) {
            this.countsByType.set(message.type, (this.countsByType.get(message.type) ?? 0) + 1);
        }
    }

    /** Counts a caller request. */
    public countRequest(): void {
        this.requestCount += 1;
    }

    /** Counts an answer to a caller. */
    public countAnswer(): void {
        this.answerCount += 1;
    }

    /**
     * Gets the number of messages of a type.
     *
     * @param type - type of message
     * @returns number of messages sent
     */
    public count(type: PeerMessage["type"]): number {
        return this.countsByType.get(type) ?? 0;
    }

    /**
     * Lists the counts of all types.
     *
     * @returns types and counts, in the order in which the types were first sent
     */
    public entries(): readonly (readonly [PeerMessage["type"], number])[] {
        return [...this.countsByType];
    }
}
