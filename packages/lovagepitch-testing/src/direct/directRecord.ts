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
    private readonly submittedSpecifications = new Map<string, string>();
    private readonly failingJobs = new Set<string>();
    private readonly startedJobs = new Set<string>();
    private readonly runningTasks = new Map<string, string>();
    private readonly succeededTasks = new Map<string, Set<number>>();
    private readonly cancellationTimes = new Map<string, number>();

    /**
     * @param clock - the deployment's clock
     */
    public constructor(private readonly clock: Clock) {}

    /**
     * Notes a job that was handed in.
     *
     * @param job - its id
     * @param specification - what its tasks are told
     * @param alwaysFails - true when no run of it can succeed
     */
    public recordSubmission(job: string, specification: string, alwaysFails: boolean): void {
        this.submittedSpecifications.set(job, specification);
        if (alwaysFails) {
            this.failingJobs.add(job);
        }
    }

    /**
     * Notes that a job's last caller has left.
     *
     * @param job - its id
     */
    public recordCancellation(job: string): void {
        this.cancellationTimes.set(job, this.clock.nowMilliseconds());
    }

    /**
     * Notes that a job is handed in again, so that its runs are wanted again.
     *
     * @param job - its id
     */
    public clearCancellation(job: string): void {
        this.cancellationTimes.delete(job);
    }

    /**
     * Tells whether no run of a job can succeed.
     *
     * @param job - its id
     * @returns true for a bad job
     */
    public isFailingJob(job: string): boolean {
        return this.failingJobs.has(job);
    }

    /**
     * Notes a start.
     *
     * @param worker - where
     * @param run - which
     * @param specification - what the worker was told
     * @param isWithinCapacity - false when the worker holds more than its capacity now
     */
    public recordStart(worker: string, run: RunIdentity, specification: string, isWithinCapacity: boolean): void {
        this.startCount += 1;
        this.startsByWorker.set(worker, [...this.listStarts(worker), run]);
        this.startedJobs.add(run.job);
        const task = `${run.job}/${run.task}`;
        const otherWorker = this.runningTasks.get(task);
        if (otherWorker !== undefined) {
            this.violations.push(`task ${task} runs at ${otherWorker} and ${worker} at once`);
        }
        this.runningTasks.set(task, worker);
        if (!isWithinCapacity) {
            this.violations.push(`worker ${worker} holds more than its capacity`);
        }
        if (this.submittedSpecifications.get(run.job) !== specification) {
            this.violations.push(`task ${task} was started with something that no caller sent`);
        }
        if (this.answers.some(({ job, answer }) => job === run.job && answer.kind === "refused")) {
            this.violations.push(`task ${task} started after its job was refused`);
        }
        const cancelledAt = this.cancellationTimes.get(run.job);
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
    public recordEnd(worker: string, run: RunIdentity, end: ReportedRunEnd["end"]): void {
        const task = `${run.job}/${run.task}`;
        this.endCounts.set(end, this.countRunEnds(end) + 1);
        if (this.runningTasks.get(task) === worker) {
            this.runningTasks.delete(task);
        }
        if (end === "succeeded") {
            const tasks = this.succeededTasks.get(run.job) ?? new Set<number>();
            this.succeededTasks.set(run.job, tasks.add(run.task));
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
    public recordAnswer(entry: number, job: string, answer: JobAnswer, taskCount: number): void {
        this.answers.push({ job, entry, answer, atMilliseconds: this.clock.nowMilliseconds() });
        if (answer.kind === "done" && this.succeededTasks.get(job)?.size !== taskCount) {
            this.violations.push(`job ${job} was said to be done with tasks missing`);
        }
        if (answer.kind === "refused" && this.startedJobs.has(job)) {
            this.violations.push(`job ${job} was refused after a task had started`);
        }
        if (answer.kind === "failed" && !this.failingJobs.has(job)) {
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
        return [...this.runningTasks.keys()];
    }

    /** Number of answers of one kind. */
    public countAnswers(kind: JobAnswer["kind"]): number {
        return this.answers.filter(({ answer }) => answer.kind === kind).length;
    }
}
