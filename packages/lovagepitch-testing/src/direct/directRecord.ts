/**
 * Events of direct jobs that workers and callers observed, checked against the guarantees of the system.
 */
import type { ReportedRunEnd } from "@lovagepitch/direct/agent/agentPorts";
import type { JobAnswer } from "@lovagepitch/direct/model/directJob";
import type { RunIdentity } from "@lovagepitch/direct/model/frames";
import type { Clock } from "@lovagepitch/utils/clock";
import type { JobHistory } from "./jobHistory.js";
import { SubmissionRecord } from "./submissionRecord.js";

/** An answer that a caller received. */
export interface RecordedAnswer {
    readonly job: string;
    readonly entry: number;
    readonly request: number;
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

/** A run that has not ended. */
interface RunningRun {
    readonly worker: string;
    readonly run: RunIdentity;
    readonly startedAt: number;
}

/** Number of crashed workers after which a task may be started only so many times more. */
const crashBudget = 3;

/** Records starts, ends and answers, and checks each of them when it is recorded. */
export class DirectRecord {
    public readonly violations: string[] = [];
    public readonly answers: RecordedAnswer[] = [];
    public readonly crashes: RecordedCrash[] = [];
    public startCount = 0;
    /** Where it is set, lines about each job are kept. */
    public history: JobHistory | undefined;
    private readonly startsByWorker = new Map<string, RunIdentity[]>();
    private readonly starts: { readonly worker: string; readonly run: RunIdentity; readonly atMilliseconds: number }[] =
        [];
    private readonly endCounts = new Map<string, number>();
    private readonly submittedSpecifications = new Map<string, string>();
    private readonly failingJobs = new Set<string>();
    private readonly latestStarts = new Map<string, number>();
    /** Runs that have not ended, by job and position of the task. */
    private readonly runningTasks = new Map<string, readonly RunningRun[]>();
    /** Instant of the latest success of each task, by job and position of the task. */
    private readonly succeededTasks = new Map<string, Map<number, number>>();
    private readonly submissions = new SubmissionRecord();
    private firstViolatingJob: string | undefined;
    /** Jobs with a task that has crashed a worker. */
    private readonly crashingJobs = new Set<string>();
    /** Number of workers that crashed while a task ran, and of its starts after the bound was reached, by task. */
    private readonly crashedUnder = new Map<string, { readonly crashes: number; readonly startsBeyond: number }>();

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
     * @param request - id of the caller's request
     */
    public recordSubmission(
        entry: number,
        job: string,
        specification: string,
        alwaysFails: boolean,
        request = 0,
    ): void {
        this.submittedSpecifications.set(job, specification);
        this.submissions.add(entry, job, request, this.clock.nowMilliseconds());
        this.history?.add(job, `request ${request} submits it to entry ${entry}`);
        if (alwaysFails) {
            this.failingJobs.add(job);
        }
    }

    /**
     * Records that an entry passes a job on, or that the other entry has answered or declined it.
     *
     * @param entry - index of the entry
     * @param job - id of the job
     * @param receiver - index of the other entry; undefined when it has the job no more
     */
    public recordForwarding(entry: number, job: string, receiver: number | undefined): void {
        this.submissions.forward(entry, job, receiver);
    }

    /**
     * Records that a caller has disconnected.
     *
     * @param entry - index of the entry
     * @param job - id of the job
     * @param request - id of the caller's request
     */
    public recordDisconnection(entry: number, job: string, request: number): void {
        this.history?.add(job, `request ${request} at entry ${entry} is disconnected`);
        const submission = this.submissions.find(entry, job, request);
        if (submission !== undefined && submission.end === undefined) {
            this.submissions.end(submission, "disconnected", this.clock.nowMilliseconds());
        }
    }

    /**
     * Records that the process of an entry has ended, and with it its open submissions.
     *
     * @param entry - index of the entry
     */
    public recordEntryEnd(entry: number): void {
        this.submissions.endAll(entry, this.clock.nowMilliseconds());
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
     * @param isOfFormerLife - true if the order was sent to a former incarnation of the worker; before an agent has called
     *   the present one, nothing can prevent that it is executed late
     */
    public recordStart(
        worker: string,
        run: RunIdentity,
        specification: string,
        isWithinCapacity: boolean,
        isOfFormerLife = false,
    ): void {
        this.startCount += 1;
        this.startsByWorker.set(worker, [...this.listStarts(worker), run]);
        this.starts.push({ worker, run, atMilliseconds: this.clock.nowMilliseconds() });
        if (!isOfFormerLife) {
            this.latestStarts.set(run.job, this.clock.nowMilliseconds());
        }
        this.history?.add(run.job, `${worker} has started ${run.task}/${run.run}`);
        const task = `${run.job}/${run.task}`;
        this.checkCrashBudget(task);
        this.addRunning(task, { worker, run, startedAt: this.clock.nowMilliseconds() }, isOfFormerLife);
        if (!isWithinCapacity) {
            this.addViolation(run.job, `the running tasks of worker ${worker} exceed its capacity`);
        }
        if (this.submittedSpecifications.get(run.job) !== specification) {
            this.addViolation(run.job, `task ${task} was started with a specification that no caller submitted`);
        }
    }

    /** Adds a run, and checks that it is the only one of its task, and that its submission has not ended. */
    private addRunning(task: string, started: RunningRun, isOfFormerLife: boolean): void {
        const { worker, run, startedAt } = started;
        const others = this.runningTasks.get(task) ?? [];
        this.runningTasks.set(task, [...others, started]);
        for (const other of others) {
            this.addViolation(
                run.job,
                `task ${task} runs on ${other.worker} (run ${other.run.run}, since ${other.startedAt}) and ${worker} (run ${run.run}, `
                    + `since ${startedAt}) at the same time; submitted ${this.submissions.describe(run.job)}`,
            );
        }
        if (!isOfFormerLife && startedAt > this.submissions.findRunBound(run.job, startedAt)) {
            this.addViolation(
                run.job,
                `task ${task} started on ${worker} at ${startedAt}, after its job was answered or its caller had gone; `
                    + `submitted ${this.submissions.describe(run.job)}`,
            );
        }
    }

    /** Checks that a run does not go on after its submission has ended. */
    private checkDuration(task: string, { worker, run, startedAt }: RunningRun): void {
        const now = this.clock.nowMilliseconds();
        const bound = this.submissions.findRunBound(run.job, startedAt);
        if (startedAt <= bound && now > bound) {
            this.addViolation(
                run.job,
                `task ${task} ran on ${worker} from ${startedAt} to ${now}, later than ${bound}, for a submission that had ended; `
                    + `submitted ${this.submissions.describe(run.job)}`,
            );
        }
    }

    private addViolation(job: string, text: string): void {
        this.violations.push(text);
        this.firstViolatingJob ??= job;
    }

    /** Lists the history of the job of the first violation, where it is kept. */
    public listFirstViolationHistory(): readonly string[] {
        return this.firstViolatingJob === undefined ? [] : this.history?.list(this.firstViolatingJob) ?? [];
    }

    private checkCrashBudget(task: string): void {
        const { crashes, startsBeyond } = this.crashedUnder.get(task) ?? { crashes: 0, startsBeyond: 0 };
        if (crashes < crashBudget) {
            return;
        }
        this.crashedUnder.set(task, { crashes, startsBeyond: startsBeyond + 1 });
        if (startsBeyond + 1 === crashBudget) {
            this.addViolation(
                task.split("/")[0] ?? "",
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
        this.history?.add(run.job, `${worker} has ended ${run.task}/${run.run}: ${end}`);
        const running = this.runningTasks.get(task) ?? [];
        const ended = running.find(other => other.worker === worker && other.run.run === run.run);
        if (ended !== undefined) {
            this.checkDuration(task, ended);
        }
        const rest = running.filter(other => other !== ended);
        if (rest.length === 0) {
            this.runningTasks.delete(task);
        }
        else {
            this.runningTasks.set(task, rest);
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
     * @param request - id of the caller's request
     * @param job - id of the job
     * @param answer - the answer
     * @param taskCount - number of tasks of the job
     */
    public recordAnswer(entry: number, request: number, job: string, answer: JobAnswer, taskCount: number): void {
        const now = this.clock.nowMilliseconds();
        this.answers.push({ job, entry, request, answer, atMilliseconds: now });
        this.history?.add(job, `entry ${entry} answers request ${request}: ${answer.kind}`);
        const submission = this.submissions.find(entry, job, request);
        if (submission?.end === "disconnected") {
            // The entry may have answered before it noticed; nobody receives the answer.
            return;
        }
        if (submission === undefined || submission.end !== undefined) {
            this.addViolation(job, `entry ${entry} answered request ${request}, which is no open request for ${job}`);
            return;
        }
        this.submissions.end(submission, answer.kind, now);
        if (answer.kind === "done" && this.countSuccesses(job, submission.acceptedAt) !== taskCount) {
            this.addViolation(job, `job ${job} was answered as done, but not all tasks of this submission succeeded`);
        }
        // Only another submission that was not refused explains a start.
        const startedAt = this.latestStarts.get(job) ?? Number.NEGATIVE_INFINITY;
        if (answer.kind === "refused" && startedAt > this.submissions.findRunBound(job, startedAt)) {
            this.addViolation(job, `job ${job} was refused after a task had started`);
        }
        const hasCause = this.failingJobs.has(job) || this.crashingJobs.has(job) || this.hasCrashedTwice(job);
        if (answer.kind === "failed" && !hasCause) {
            this.addViolation(job, `job ${job} was answered as failed, but its tasks can succeed`);
        }
    }

    /** Counts the tasks of a job that have succeeded since an instant. */
    private countSuccesses(job: string, since: number): number {
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

    /** Checks the runs that have not ended against the ends of their submissions. */
    public checkRunningTasks(): void {
        for (const [task, running] of this.runningTasks) {
            running.forEach(run => this.checkDuration(task, run));
        }
    }

    /** Counts the answers of one kind. */
    public countAnswers(kind: JobAnswer["kind"]): number {
        return this.answers.filter(({ answer }) => answer.kind === kind).length;
    }
}
