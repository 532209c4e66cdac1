/**
 * Submissions of one owner in ascending order of their sequence.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";

/** Removed items at the front of the array after which the array is compacted. */
const compactionThreshold = 1_024;

interface QueuedSubmission {
    readonly sequence: number;
    readonly submission: SubmissionKey;
}

/** A sorted queue, optimized for insertions at or near its end. */
export class SubmissionQueue {
    private items: QueuedSubmission[] = [];
    private head = 0;

    /** Number of submissions. */
    public get size(): number {
        return this.items.length - this.head;
    }

    /**
     * Inserts a submission at the position of its sequence.
     *
     * @param sequence - sequence of the submission
     * @param submission - id of the submission
     */
    public insert(sequence: number, submission: SubmissionKey): void {
        let position = this.items.length;
        while (position > this.head && (this.items[position - 1]?.sequence ?? 0) > sequence) {
            position -= 1;
        }
        this.items.splice(position, 0, { sequence, submission });
    }

    /**
     * Finds the submission with the lowest sequence.
     *
     * @returns the id of the submission, or undefined when the queue is empty
     */
    public peekFirst(): SubmissionKey | undefined {
        return this.items[this.head]?.submission;
    }

    /** Removes the submission with the lowest sequence. */
    public removeFirst(): void {
        if (this.size === 0) {
            return;
        }
        this.head += 1;
        if (this.head >= compactionThreshold) {
            this.items = this.items.slice(this.head);
            this.head = 0;
        }
    }
}
