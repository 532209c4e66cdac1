/**
 * Starts as the backend servers saw them: the first of the two records that the checker judges.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";

/** One start of a task at a backend server. */
export interface TaskStart {
    readonly submission: SubmissionKey;
    readonly index: number;
    readonly team: string;
    readonly service: string;
    readonly kind: string;
    /** What the caller put into the payload's `echo`; it names the caller's own task. */
    readonly echo: unknown;
    readonly worker: string;
    readonly availabilityZone: string;
    /** Instant of the start, in milliseconds since the epoch. */
    readonly startedAtMilliseconds: number;
}

/** How a started task ended at its backend server. */
export interface TaskEnd {
    readonly endedAtMilliseconds: number;
    readonly state: "succeeded" | "failed";
}

/** Every start of a run, and how it ended. */
export class StartRecord {
    private readonly recordedStarts: TaskStart[] = [];
    private readonly endsByStart = new Map<TaskStart, TaskEnd>();

    /** The starts in order of their instants. */
    public get starts(): readonly TaskStart[] {
        return this.recordedStarts;
    }

    /**
     * Adds a start.
     *
     * @param start - the start as the backend server saw it
     */
    public recordStart(start: TaskStart): void {
        this.recordedStarts.push(start);
    }

    /**
     * Adds the end of a start.
     *
     * @param start - a start that was recorded
     * @param end - how and when it ended
     */
    public recordEnd(start: TaskStart, end: TaskEnd): void {
        this.endsByStart.set(start, end);
    }

    /**
     * Finds the end of a start.
     *
     * @param start - a start that was recorded
     * @returns its end, or undefined while it runs or when its server died
     */
    public getEnd(start: TaskStart): TaskEnd | undefined {
        return this.endsByStart.get(start);
    }

    /**
     * Groups the starts by submission.
     *
     * @returns the starts of each submission that had any
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
