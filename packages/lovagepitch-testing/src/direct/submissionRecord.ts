/**
 * Submissions of jobs as their callers see them: which are open, and how long runs on their behalf may go on.
 */
import type { JobAnswer } from "@lovagepitch/direct/model/directJob";

/** Time after a broken connection or an answer until the caller submits the job again, in milliseconds. */
export const resubmissionDelayMilliseconds = 1300;

/** How a submission ended for its caller. */
export type SubmissionEnd = JobAnswer["kind"] | "disconnected";

/** One request of a caller. */
export interface Submission {
    readonly entry: number;
    readonly job: string;
    readonly request: number;
    readonly atMilliseconds: number;
    /** Instant since which the entry has had an open request for the job. */
    readonly acceptedAt: number;
    end: SubmissionEnd | undefined;
    endedAt: number;
    /** Index of the entry that it was passed on to; undefined while it was not. */
    forwardedTo: number | undefined;
}

/** All submissions, by job. */
export class SubmissionRecord {
    private readonly submissions = new Map<string, Submission[]>();

    /**
     * Adds a submission. The entry attaches it to an open one of the same job, also to one that another entry has passed on to it and
     * whose end it has not learned.
     *
     * @param entry - index of the entry
     * @param job - id of the job
     * @param request - id of the caller's request
     * @param atMilliseconds - instant of the submission
     */
    public add(entry: number, job: string, request: number, atMilliseconds: number): void {
        const known = this.list(job);
        const open = known.find(other => {
            return (other.entry === entry && other.end === undefined) || other.forwardedTo === entry;
        });
        this.submissions.set(job, [...known, {
            entry,
            job,
            request,
            atMilliseconds,
            acceptedAt: open?.acceptedAt ?? atMilliseconds,
            end: undefined,
            endedAt: Number.POSITIVE_INFINITY,
            forwardedTo: undefined,
        }]);
    }

    /**
     * Records which entry has the open submissions of a job beside the one that received them.
     *
     * @param entry - index of the entry that received them
     * @param job - id of the job
     * @param receiver - index of the entry that they were passed on to; undefined for none
     */
    public forward(entry: number, job: string, receiver: number | undefined): void {
        for (const submission of this.list(job)) {
            if (submission.entry === entry && (receiver === undefined || submission.end === undefined)) {
                submission.forwardedTo = receiver;
            }
        }
    }

    /**
     * Finds a submission.
     *
     * @param entry - index of the entry
     * @param job - id of the job
     * @param request - id of the caller's request
     * @returns the submission, or undefined if there is none
     */
    public find(entry: number, job: string, request: number): Submission | undefined {
        return this.list(job).find(other => other.entry === entry && other.request === request);
    }

    /**
     * Ends a submission.
     *
     * @param submission - the submission
     * @param end - how it ended
     * @param atMilliseconds - instant of the end
     */
    public end(submission: Submission, end: SubmissionEnd, atMilliseconds: number): void {
        submission.end = end;
        submission.endedAt = atMilliseconds;
    }

    /**
     * Ends all open submissions of an entry whose process has ended.
     *
     * @param entry - index of the entry
     * @param atMilliseconds - instant of the end
     */
    public endAll(entry: number, atMilliseconds: number): void {
        for (const submissions of this.submissions.values()) {
            for (const submission of submissions) {
                if (submission.entry === entry && submission.end === undefined) {
                    this.end(submission, "disconnected", atMilliseconds);
                }
            }
        }
    }

    /**
     * Lists the submissions of a job.
     *
     * @param job - id of the job
     * @returns the submissions in their order
     */
    public list(job: string): readonly Submission[] {
        return this.submissions.get(job) ?? [];
    }

    /**
     * Finds the instant until which a run of a job may go on. Callers submit again that long after the end of their
     * submission, to any entry, so nothing may be left of it then.
     *
     * @param job - id of the job
     * @param startedAt - start of the run, in milliseconds
     * @returns milliseconds; infinite while a submission is open, negative infinity if all were refused
     */
    public findRunBound(job: string, startedAt: number): number {
        return this.list(job).reduce((bound, { atMilliseconds, end, endedAt }) => {
            const mayRun = atMilliseconds <= startedAt && end !== "refused";
            return mayRun ? Math.max(bound, endedAt + resubmissionDelayMilliseconds) : bound;
        }, Number.NEGATIVE_INFINITY);
    }

    /**
     * Describes the submissions of a job.
     *
     * @param job - id of the job
     * @returns entry, instant and end of each
     */
    public describe(job: string): string {
        return this.list(job).map(({ entry, atMilliseconds, end, endedAt }) => {
            return `${atMilliseconds} at entry ${entry}${end === undefined ? "" : ` (${end} at ${endedAt})`}`;
        }).join(", ");
    }
}
