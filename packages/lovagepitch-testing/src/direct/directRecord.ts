/**
 * What workers and callers saw, and which promises were broken by it.
 */
import type { ReportedRunEnd } from "@lovagepitch/direct/agent/agentPorts";
import type { JobAnswer } from "@lovagepitch/direct/model/directJob";
import type { RunIdentity } from "@lovagepitch/direct/model/frames";
import type { Clock } from "@lovagepitch/utils/clock";

/** An answer that a caller got. */
export interface RecordedAnswer {
    readonly job: string;
    readonly entry: number;
    readonly answer: JobAnswer;
    readonly atMilliseconds: number;
}

/** Collects what happened and checks it as it comes. */
export class DirectRecord {
    public readonly violations: string[] = [];
    public readonly answers: RecordedAnswer[] = [];
    public startCount = 0;
    private readonly startsByWorker = new Map<string, RunIdentity[]>();
    private readonly endCounts = new Map<string, number>();
    private readonly submitted = new Map<string, string>();
    private readonly badJobs = new Set<string>();
    private readonly startedJobs = new Set<string>();
    private readonly atWork = new Map<string, string>();
    private readonly succeeded = new Map<string, Set<number>>();
    private readonly cancelledAt = new Map<string, number>();

    /**
     * @param clock - the deployment's clock
     */
    public constructor(private readonly clock: Clock) {}

    /**
     * Notes a job that was handed in.
     *
     * @param job - its id
     * @param specification - what its tasks are told
     * @param isBad - true when no run of it can succeed
     */
    public recordSubmission(job: string, specification: string, isBad: boolean): void {
        this.submitted.set(job, specification);
        if (isBad) {
            this.badJobs.add(job);
        }
    }

    /**
     * Notes that a job's last caller has left.
     *
     * @param job - its id
     */
    public cancel(job: string): void {
        this.cancelledAt.set(job, this.clock.nowMilliseconds());
    }

    /**
     * Notes that a job is handed in again, so that its runs are wanted again.
     *
     * @param job - its id
     */
    public submitAgain(job: string): void {
        this.cancelledAt.delete(job);
    }

    /**
     * Tells whether no run of a job can succeed.
     *
     * @param job - its id
     * @returns true for a bad job
     */
    public isBadJob(job: string): boolean {
        return this.badJobs.has(job);
    }

    /**
     * Notes a start.
     *
     * @param worker - where
     * @param run - which
     * @param specification - what the worker was told
     * @param fits - false when the worker holds more than its capacity now
     */
    public started(worker: string, run: RunIdentity, specification: string, fits: boolean): void {
        this.startCount += 1;
        this.startsByWorker.set(worker, [...this.listStarts(worker), run]);
        this.startedJobs.add(run.job);
        const task = `${run.job}/${run.task}`;
        const other = this.atWork.get(task);
        if (other !== undefined) {
            this.violations.push(`task ${task} runs at ${other} and ${worker} at once`);
        }
        this.atWork.set(task, worker);
        if (!fits) {
            this.violations.push(`worker ${worker} holds more than its capacity`);
        }
        if (this.submitted.get(run.job) !== specification) {
            this.violations.push(`task ${task} was started with something that no caller sent`);
        }
        if (this.answers.some(({ job, answer }) => job === run.job && answer.kind === "refused")) {
            this.violations.push(`task ${task} started after its job was refused`);
        }
        const cancelledAt = this.cancelledAt.get(run.job);
        if (cancelledAt !== undefined && this.clock.nowMilliseconds() - cancelledAt > 3000) {
            this.violations.push(`task ${task} started long after its job was cancelled`);
        }
    }

    /**
     * Notes the end of a run.
     *
     * @param worker - where
     * @param run - which
     * @param end - how
     */
    public ended(worker: string, run: RunIdentity, end: ReportedRunEnd["end"]): void {
        const task = `${run.job}/${run.task}`;
        this.endCounts.set(end, this.countRunEnds(end) + 1);
        if (this.atWork.get(task) === worker) {
            this.atWork.delete(task);
        }
        if (end === "succeeded") {
            const tasks = this.succeeded.get(run.job) ?? new Set<number>();
            this.succeeded.set(run.job, tasks.add(run.task));
        }
    }

    /**
     * Notes an answer.
     *
     * @param entry - who answered
     * @param job - the job's id
     * @param answer - the answer
     * @param taskCount - the job's number of tasks
     */
    public answered(entry: number, job: string, answer: JobAnswer, taskCount: number): void {
        this.answers.push({ job, entry, answer, atMilliseconds: this.clock.nowMilliseconds() });
        if (answer.kind === "done" && this.succeeded.get(job)?.size !== taskCount) {
            this.violations.push(`job ${job} was said to be done with tasks missing`);
        }
        if (answer.kind === "refused" && this.startedJobs.has(job)) {
            this.violations.push(`job ${job} was refused after a task had started`);
        }
        if (answer.kind === "failed" && !this.badJobs.has(job)) {
            this.violations.push(`job ${job} was said to have failed, though it could be done`);
        }
    }

    /**
     * Lists the starts of one worker.
     *
     * @param worker - its life
     * @returns its runs, in order
     */
    public listStarts(worker: string): readonly RunIdentity[] {
        return this.startsByWorker.get(worker) ?? [];
    }

    /**
     * Counts the runs that ended in one way.
     *
     * @param end - the way
     * @returns the number
     */
    public countRunEnds(end: ReportedRunEnd["end"]): number {
        return this.endCounts.get(end) ?? 0;
    }

    /** Tasks at work, by job and position. */
    public listRunningTasks(): readonly string[] {
        return [...this.atWork.keys()];
    }

    /** Number of answers of one kind. */
    public countAnswers(kind: JobAnswer["kind"]): number {
        return this.answers.filter(({ answer }) => answer.kind === kind).length;
    }
}
