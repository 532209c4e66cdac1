/**
 * Counts of messages in a deployment.
 */
import type { PeerBatch, PeerMessage } from "@lovagepitch/types/peerMessage";

/** Messages that were sent, by what they were. */
export class MessageCounts {
    private readonly countsByType = new Map<PeerMessage["type"], number>();
    private batchCount = 0;
    private requestCount = 0;
    private answerCount = 0;

    /** Batches between processes: what the network carries. */
    public get batches(): number {
        return this.batchCount;
    }

    /** Requests of callers, those for ids among them. */
    public get callerRequests(): number {
        return this.requestCount;
    }

    /** Answers to callers. */
    public get callerAnswers(): number {
        return this.answerCount;
    }

    /**
     * Counts a batch.
     *
     * @param batch - the batch
     */
    public countBatch(batch: PeerBatch): void {
        this.batchCount += 1;
        for (const message of batch.messages) {
            this.countsByType.set(message.type, (this.countsByType.get(message.type) ?? 0) + 1);
        }
    }

    /** Counts a request of a caller. */
    public countRequest(): void {
        this.requestCount += 1;
    }

    /** Counts an answer to a caller. */
    public countAnswer(): void {
        this.answerCount += 1;
    }

    /**
     * Reads a count.
     *
     * @param type - type of message
     * @returns how many were sent
     */
    public count(type: PeerMessage["type"]): number {
        return this.countsByType.get(type) ?? 0;
    }

    /**
     * Lists the counts.
     *
     * @returns types and counts, in order of first use
     */
    public entries(): readonly (readonly [PeerMessage["type"], number])[] {
        return [...this.countsByType];
    }
}
