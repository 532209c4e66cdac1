/**
 * Queue of the jobs with waiting tasks, by team and start order.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import { PriorityQueue } from "@lovagepitch/utils/priorityQueue";
import type { StartOrderPolicy } from "../policies/startOrderPolicy.js";

/** Properties of a job that determine its position in the queue. */
export interface QueuedJob {
    readonly submission: SubmissionKey;
    readonly team: string;
    /** Arrival, in milliseconds since the epoch. */
    readonly arrivedAtMilliseconds: number;
    /** Expected run time of one of its tasks, in milliseconds. */
    readonly expectedTaskMilliseconds: number;
}

interface WaitingJob extends QueuedJob {
    priority: number;
    /** Indexes of waiting tasks; the last one starts next. */
    readonly indexes: number[];
    isQueued: boolean;
}

/** The waiting task that a team starts next. */
export interface NextTask {
    readonly submission: SubmissionKey;
    readonly team: string;
    readonly index: number;
    readonly priority: number;
    readonly arrivedAtMilliseconds: number;
}

/** Waiting tasks of one work class. */
export class WaitingQueue {
    private readonly jobs = new Map<SubmissionKey, WaitingJob>();
    private readonly teams = new Map<string, PriorityQueue<WaitingJob>>();
    private bypassedJobs: WaitingJob[] = [];
    private waitingTasks = 0;

    /** Number of waiting tasks. */
    public get size(): number {
        return this.waitingTasks;
    }

    /**
     * @param startOrder - policy that ranks the jobs
     */
    public constructor(private readonly startOrder: StartOrderPolicy) {}

    /**
     * Adds waiting tasks of a job.
     *
     * @param queued - job that the tasks belong to
     * @param indexes - indexes of the tasks, in start order
     */
    public add(queued: QueuedJob, indexes: readonly number[]): void {
        let job = this.jobs.get(queued.submission);
        if (job === undefined) {
            job = { ...queued, priority: 0, indexes: [], isQueued: false };
            this.jobs.set(queued.submission, job);
        }
        for (let position = indexes.length - 1; position >= 0; position -= 1) {
            job.indexes.push(indexes[position]!);
        }
        this.waitingTasks += indexes.length;
        if (!job.isQueued) {
            job.priority = this.computePriority(job);
            this.enqueue(job);
        }
    }

    /**
     * Removes all waiting tasks of a job.
     *
     * @param submission - id of the job's submission
     */
    public remove(submission: SubmissionKey): void {
        const job = this.jobs.get(submission);
        if (job !== undefined) {
            this.waitingTasks -= job.indexes.length;
            job.indexes.length = 0;
            this.jobs.delete(submission);
        }
    }

    /**
     * Lists the next task of each team.
     *
     * @returns one task for each team with waiting tasks
     */
    public listNextTasks(): readonly NextTask[] {
        const nextTasks: NextTask[] = [];
        for (const [team, queue] of this.teams) {
            const job = this.findFirstJobWithTasks(queue);
            if (job === undefined) {
                this.teams.delete(team);
                continue;
            }
            nextTasks.push(this.createNextTask(job));
        }
        return nextTasks;
    }

    /**
     * Removes a team's next task from the queue.
     *
     * @param nextTask - task as returned by the latest `listNextTasks`; ignored when it is no longer next
     */
    public take(nextTask: NextTask): void {
        const job = this.jobs.get(nextTask.submission);
        if (job === undefined || job.indexes.at(-1) !== nextTask.index) {
            return;
        }
        job.indexes.pop();
        this.waitingTasks -= 1;
        // The job is first of its team; less remaining work can only keep it first.
        job.priority = Math.min(job.priority, this.computePriority(job));
        if (job.indexes.length === 0) {
            this.jobs.delete(nextTask.submission);
        }
    }

    /**
     * Leaves out a job until `restoreBypassedJobs`, so that the jobs behind it can be placed.
     *
     * @param nextTask - task of the job, as returned by the latest `listNextTasks`
     */
    public bypassJob(nextTask: NextTask): void {
        const queue = this.teams.get(nextTask.team);
        const job = queue?.peek();
        if (queue !== undefined && job?.submission === nextTask.submission) {
            queue.pop();
            job.isQueued = false;
            this.bypassedJobs.push(job);
        }
    }

    /** Returns the bypassed jobs to their positions. */
    public restoreBypassedJobs(): void {
        for (const job of this.bypassedJobs) {
            if (!job.isQueued && job.indexes.length > 0) {
                this.enqueue(job);
            }
        }
        this.bypassedJobs = [];
    }

    /**
     * Finds the earliest arrival among the teams' next jobs.
     *
     * @returns milliseconds since the epoch, or undefined when no task waits
     */
    public findOldestArrivalMilliseconds(): number | undefined {
        let oldest: number | undefined;
        for (const nextTask of this.listNextTasks()) {
            oldest = Math.min(oldest ?? nextTask.arrivedAtMilliseconds, nextTask.arrivedAtMilliseconds);
        }
        return oldest;
    }

    private enqueue(job: WaitingJob): void {
        let queue = this.teams.get(job.team);
        if (queue === undefined) {
            queue = new PriorityQueue();
            this.teams.set(job.team, queue);
        }
        job.isQueued = true;
        queue.push(job.priority, job);
    }

    private computePriority(job: WaitingJob): number {
        return this.startOrder.computePriority(
            job.arrivedAtMilliseconds,
            job.indexes.length * job.expectedTaskMilliseconds,
        );
    }

    private findFirstJobWithTasks(queue: PriorityQueue<WaitingJob>): WaitingJob | undefined {
        for (;;) {
            const job = queue.peek();
            if (job === undefined || job.indexes.length > 0) {
                return job;
            }
            queue.pop();
            job.isQueued = false;
        }
    }

    private createNextTask(job: WaitingJob): NextTask {
        return {
            submission: job.submission,
            team: job.team,
            index: job.indexes.at(-1)!,
            priority: job.priority,
            arrivedAtMilliseconds: job.arrivedAtMilliseconds,
        };
    }
}
