/**
 * Counts the messages that a client sends.
 */

/** Number of messages sent so far, by purpose. */
export interface MessageCounts {
    /** Requests for submission ids. */
    readonly issues: number;
    /** First submissions of a job. */
    readonly submissions: number;
    /** Retries of a job, under the same identity or another. */
    readonly resubmissions: number;
}

/** Purpose of a message. */
export type MessagePurpose = keyof MessageCounts;

/** Counts messages by purpose; callers leave out messages for which no connection was established. */
export class MessageCounter {
    private counts: MessageCounts = { issues: 0, submissions: 0, resubmissions: 0 };

    /**
     * Counts one message.
     *
     * @param purpose - purpose of the message
     */
    public increment(purpose: MessagePurpose): void {
        this.counts = { ...this.counts, [purpose]: this.counts[purpose] + 1 };
    }

    /**
     * Returns the current counts.
     *
     * @returns the counts so far
     */
    public getCounts(): MessageCounts {
        return this.counts;
    }
}
