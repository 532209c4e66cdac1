/**
 * Counts of the messages that a client sends.
 */

/** Messages sent so far, by purpose. */
export interface MessageCounts {
    /** Requests for ids. */
    readonly issues: number;
    /** First submissions of a job. */
    readonly submissions: number;
    /** Later submissions of a job, under the same identity or another. */
    readonly resubmissions: number;
}

/** Purposes of messages. */
export type MessagePurpose = keyof MessageCounts;

/** Counts messages; those for which no connection was made do not count. */
export class MessageCounter {
    private counts: MessageCounts = { issues: 0, submissions: 0, resubmissions: 0 };

    /**
     * Counts one message.
     *
     * @param purpose - its purpose
     */
    public add(purpose: MessagePurpose): void {
        this.counts = { ...this.counts, [purpose]: this.counts[purpose] + 1 };
    }

    /**
     * Reads the counts.
     *
     * @returns the counts so far
     */
    public read(): MessageCounts {
        return this.counts;
    }
}
