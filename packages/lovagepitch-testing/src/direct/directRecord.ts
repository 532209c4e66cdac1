/**
 * Events of direct jobs that workers and callers observed, checked against the guarantees of the system.
 */
import type { ReportedRunEnd } from "@lovagepitch/direct/agent/agentPorts";
import type { JobAnswer } from "@lovagepitch/direct/model/directJob";
import type { RunIdentity } from "@lovagepitch/direct/model/frames";
import type { Clock } from "@lovagepitch/utils/clock";

/** An answer that a caller received. */
export interface RecordedAnswer {
    readonly job: string;
    readonly entry: number;
    readonly answer: JobAnswer;
    readonly atMilliseconds: number;
}

/** A crash of a worker. */
export interface RecordedCrash {
    readonly worker: string;
    /** Task that has crashed the worker; undefined for another cause. */
    readonly cause: RunIdentity | undefined;
    readonly running: readonly RunIdentity[];
    readonly atMilliseconds: number;
}

/** Number of crashed workers after which a task may be started only so many times more. */
const crashBudget = 3;

/** Records starts, ends and answers, and checks each of them when it is recorded. */
export class DirectRecord {
    public readonly violations: string[] = [];
    public readonly answers: RecordedAnswer[] = [];
    public readonly crashes: RecordedCrash[] = [];
    public startCount = 0;
    private readonly startsByWorker = new Map<string, RunIdentity[]>();
    private readonly starts: { readonly worker: string; readonly run: RunIdentity; readonly atMilliseconds: number }[] =
        [];
    private readonly endCounts = new Map<string, number>();
    private readonly submittedSpecifications = new Map<string, string>();
    private readonly failingJobs = new Set<string>();
    private readonly startedJobs = new Set<string>();
    private readonly runningTasks = new Map<string, string>();
    /** Instant of the latest success of each task, by job and position of the task. */
    private readonly succeededTasks = new Map<string, Map<number, number>>();
    /** Instant since which an entry has an open submission of a job, by entry and job. */
    private readonly openSubmissions = new Map<string, number>();
    /** Jobs with a task that has crashed a worker. */
    private readonly crashingJobs = new Set<string>();
    /** Number of workers that crashed while a task ran, and of its starts after the bound was reached, by task. */
    private readonly crashedUnder = new Map<string, { readonly crashes: number; readonly startsBeyond: number }>();
    private readonly cancellationTimes = new Map<string, number>();

    /**
     * @param clock - clock of the deployment
     */
    public constructor(private readonly clock: Clock) {}

    /**
     * Records the submission of a job.
     *
     * @param entry - index of the entry
     * @param job - id of the job
     * @param specification - specification that each start of its tasks must carry
     * @param alwaysFails - true if every run of the job fails
     */
    public recordSubmission(entry: number, job: string, specification: string, alwaysFails: boolean): void {
        this.submittedSpecifications.set(job, specification);
        const submission = formatSubmission(entry, job);
        this.openSubmissions.set(submission, this.openSubmissions.get(submission) ?? this.clock.nowMilliseconds());
        if (alwaysFails) {
            this.failingJobs.add(job);
        }
    }

    /**
     * Records that the last caller of a job has disconnected, which cancels the job.
     *
     * @param entry - index of the entry
     * @param job - id of the job
     */
    public recordCancellation(entry: number, job: string): void {
        this.cancellationTimes.set(job, this.clock.nowMilliseconds());
        this.openSubmissions.delete(formatSubmission(entry, job));
    }

    /**
     * Records that the process of an entry has ended, and with it its open submissions.
     *
     * @param entry - index of the entry
     */
    public recordEntryEnd(entry: number): void {
        for (const submission of [...this.openSubmissions.keys()]) {
            if (submission.startsWith(formatSubmission(entry, ""))) {
                this.openSubmissions.delete(submission);
            }
        }
    }

    /**
     * Removes the record of a cancellation because the job is submitted again, so its tasks may start again.
     *
     * @param job - id of the job
     */
    public clearCancellation(job: string): void {
        this.cancellationTimes.delete(job);
    }

    /**
     * Tells whether every run of a job fails.
     *
     * @param job - id of the job
     * @returns true if the job was submitted with `alwaysFails`
     */
    public isFailingJob(job: string): boolean {
        return this.failingJobs.has(job);
    }

    /**
     * Records the start of a run.
     *
     * @param worker - id of the worker's incarnation
     * @param run - job, task and number of the run
     * @param specification - specification that the start order carried
     * @param isWithinCapacity - false if the worker's running tasks now need more than its capacity
     */
    public recordStart(worker: string, run: RunIdentity, specification: string, isWithinCapacity: boolean): void {
        this.startCount += 1;
        this.startsByWorker.set(worker, [...this.listStarts(worker), run]);
        this.starts.push({ worker, run, atMilliseconds: this.clock.nowMilliseconds() });
        this.startedJobs.add(run.job);
        const task = `${run.job}/${run.task}`;
        this.checkCrashBudget(task);
        const otherWorker = this.runningTasks.get(task);
        if (otherWorker !== undefined) {
            this.violations.push(`task ${task} runs on ${otherWorker} and ${worker} at the same time`);
        }
        this.runningTasks.set(task, worker);
        if (!isWithinCapacity) {
            this.violations.push(`the running tasks of worker ${worker} exceed its capacity`);
        }
        if (this.submittedSpecifications.get(run.job) !== specification) {
            this.violations.push(`task ${task} was started with a specification that no caller submitted`);
        }
        if (this.answers.some(({ job, answer }) => job === run.job && answer.kind === "refused")) {
            this.violations.push(`task ${task} started after its job was refused`);
        }
        const cancelledAt = this.cancellationTimes.get(run.job);
        if (cancelledAt !== undefined && this.clock.nowMilliseconds() - cancelledAt > 3000) {
            this.violations.push(`task ${task} started more than 3000 ms after its job was cancelled`);
        }
    }

    private checkCrashBudget(task: string): void {
        const { crashes, startsBeyond } = this.crashedUnder.get(task) ?? { crashes: 0, startsBeyond: 0 };
        if (crashes < crashBudget) {
            return;
        }
        this.crashedUnder.set(task, { crashes, startsBeyond: startsBeyond + 1 });
        if (startsBeyond + 1 === crashBudget) {
            this.violations.push(
                `task ${task} was started ${crashBudget} times after it had crashed ${crashes} workers`,
            );
        }
    }

    /**
     * Records the crash of a worker.
     *
     * @param worker - id of the worker's incarnation
     * @param cause - task that has crashed it; undefined for another cause
     * @param running - tasks that ran on it, including the cause
     */
    public recordCrash(worker: string, cause: RunIdentity | undefined, running: readonly RunIdentity[]): void {
        this.crashes.push({ worker, cause, running, atMilliseconds: this.clock.nowMilliseconds() });
        if (cause === undefined) {
            return;
        }
        this.crashingJobs.add(cause.job);
        const task = `${cause.job}/${cause.task}`;
        const { crashes, startsBeyond } = this.crashedUnder.get(task) ?? { crashes: 0, startsBeyond: 0 };
        this.crashedUnder.set(task, { crashes: crashes + 1, startsBeyond });
    }

    /**
     * Counts the workers that a job's tasks have crashed.
     *
     * @param job - id of the job
     * @returns number of crashes
     */
    public countCrashesBy(job: string): number {
        return this.crashes.filter(({ cause }) => cause?.job === job).length;
    }

    /**
     * Records the end of a run.
     *
     * @param worker - id of the worker's incarnation
     * @param run - job, task and number of the run
     * @param end - how the run ended
     */
    public recordEnd(worker: string, run: RunIdentity, end: ReportedRunEnd["end"]): void {
        const task = `${run.job}/${run.task}`;
        this.endCounts.set(end, this.countRunEnds(end) + 1);
        if (this.runningTasks.get(task) === worker) {
            this.runningTasks.delete(task);
        }
        if (end === "succeeded") {
            const tasks = this.succeededTasks.get(run.job) ?? new Map<number, number>();
            this.succeededTasks.set(run.job, tasks.set(run.task, this.clock.nowMilliseconds()));
        }
    }

    /**
     * Records an answer to a caller.
     *
     * @param entry - index of the entry that answered
     * @param job - id of the job
     * @param answer - the answer
     * @param taskCount - number of tasks of the job
     */
    public recordAnswer(entry: number, job: string, answer: JobAnswer, taskCount: number): void {
        this.answers.push({ job, entry, answer, atMilliseconds: this.clock.nowMilliseconds() });
        const submission = formatSubmission(entry, job);
        if (answer.kind === "done" && this.countSuccesses(job, this.openSubmissions.get(submission)) !== taskCount) {
            this.violations.push(`job ${job} was answered as done, but not all tasks of this submission succeeded`);
        }
        this.openSubmissions.delete(submission);
        // An earlier sending of the job that was answered as interrupted has told the caller that tasks had started.
        const wasInterrupted = this.answers.some(other => other.job === job && other.answer.kind === "interrupted");
        if (answer.kind === "refused" && this.startedJobs.has(job) && !wasInterrupted) {
            this.violations.push(`job ${job} was refused after a task had started`);
        }
        const hasCause = this.failingJobs.has(job) || this.crashingJobs.has(job) || this.hasCrashedTwice(job);
        if (answer.kind === "failed" && !hasCause) {
            this.violations.push(`job ${job} was answered as failed, but its tasks can succeed`);
        }
    }

    /** Counts the tasks of a job that have succeeded since an instant. */
    private countSuccesses(job: string, since = Number.POSITIVE_INFINITY): number {
        return [...this.succeededTasks.get(job)?.values() ?? []].filter(at => at >= since).length;
    }

    /** Tells whether two workers have crashed under the same task of a job; the users' rules let it be given up then. */
    private hasCrashedTwice(job: string): boolean {
        const tasks = this.crashes.flatMap(({ running }) => running).filter(run => run.job === job).map(run =>
            run.task
        );
        return new Set(tasks).size < tasks.length;
    }

    /**
     * Lists the runs that one incarnation of a worker started.
     *
     * @param worker - id of the worker's incarnation
     * @returns the runs in the order of their starts
     */
    public listStarts(worker: string): readonly RunIdentity[] {
        return this.startsByWorker.get(worker) ?? [];
    }

    /**
     * Finds the next start of a task.
     *
     * @param job - id of the job
     * @param task - position of the task
     * @param after - instant after which it starts, in milliseconds
     * @returns instant of the start, or undefined if there was none
     */
    public findStart(job: string, task: number, after: number): number | undefined {
        const start = this.starts.find(({ run, atMilliseconds }) => {
            return run.job === job && run.task === task && atMilliseconds > after;
        });
        return start?.atMilliseconds;
    }

    /**
     * Finds the first start on one incarnation of a worker.
     *
     * @param worker - id of the worker's incarnation
     * @returns instant of the start in milliseconds, or undefined if there was none
     */
    public findFirstStart(worker: string): number | undefined {
        return this.starts.find(start => start.worker === worker)?.atMilliseconds;
    }

    /**
     * Counts the runs that ended in a given way.
     *
     * @param end - how the runs ended
     * @returns number of runs
     */
    public countRunEnds(end: ReportedRunEnd["end"]): number {
        return this.endCounts.get(end) ?? 0;
    }

    /** Lists the running tasks as `job/task`. */
    public listRunningTasks(): readonly string[] {
        return [...this.runningTasks.keys()];
    }

    /** Counts the answers of one kind. */
    public countAnswers(kind: JobAnswer["kind"]): number {
        return this.answers.filter(({ answer }) => answer.kind === kind).length;
    }
}

function formatSubmission(entry: number, job: string): string {
    return `${entry} ${job}`;
}
