/**
 * Task starts as observed by the backend servers. The checker compares them with the answers (answerRecord.ts).
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";

/** A start of a task at a backend server. */
export interface TaskStart {
    readonly submission: SubmissionKey;
    readonly index: number;
    readonly team: string;
    readonly service: string;
    readonly kind: string;
    /** Value of `echo` in the task's payload; it identifies the task that the caller submitted. */
    readonly echo: unknown;
    readonly worker: string;
    readonly availabilityZone: string;
    /** Instant of the start, in milliseconds since the epoch. */
    readonly startedAtMilliseconds: number;
}

/** End of a started task at its backend server. */
export interface TaskEnd {
    readonly endedAtMilliseconds: number;
    readonly state: "succeeded" | "failed";
}

/** All task starts of a test run and their ends. */
export class StartRecord {
    private readonly recordedStarts: TaskStart[] = [];
    private readonly endsByStart = new Map<TaskStart, TaskEnd>();

    /** The starts in the order in which they were recorded. */
    public get starts(): readonly TaskStart[] {
        return this.recordedStarts;
    }

    /**
     * Adds a start.
     *
     * @param start - the start that the backend server observed
     */
    public recordStart(start: TaskStart): void {
        this.recordedStarts.push(start);
    }

    /**
     * Records the end of a started task.
     *
     * @param start - the recorded start, the same object
     * @param end - state and time of the end
     */
    public recordEnd(start: TaskStart, end: TaskEnd): void {
        this.endsByStart.set(start, end);
    }

    /**
     * Gets the end of a started task.
     *
     * @param start - the recorded start, the same object
     * @returns the end, or undefined while the task runs or if its backend server crashed
     */
    public getEnd(start: TaskStart): TaskEnd | undefined {
        return this.endsByStart.get(start);
    }

    /**
     * Groups the starts by submission.
     *
     * @returns the starts of each submission that has at least one
     */
    public groupBySubmission(): ReadonlyMap<SubmissionKey, readonly TaskStart[]> {
        const groups = new Map<SubmissionKey, TaskStart[]>();
        for (const start of this.recordedStarts) {
            const group = groups.get(start.submission);
            if (group === undefined) {
                groups.set(start.submission, [start]);
            }
            else {
                group.push(start);
            }
        }
        return groups;
    }
}
