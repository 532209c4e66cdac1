/**
 * What the entry's link still carries in one round of placement, and the jobs that wait for it.
 */
import type { DirectJob } from "../model/directJob.js";
import { type EntryState, type JobRow, mayHaveStarted } from "./entryState.js";

/** Bytes that a frame and the fields of a job take beside the specification. */
const jobOverheadBytes = 120;

/** Bytes of one more task of a job in a frame. */
const taskBytes = 6;

/** Bytes of start orders that may still be sent, and the workers that already get a task of a job. */
export class LinkAllowance {
    /** True while frames wait for the link. */
    public readonly isShort: boolean;
    private readonly windowBytes: number;
    private remainingBytes: number;
    /** Bytes of the jobs that wait for the link, in the order in which they will be sent. */
    private heldBytes = 0;
    private readonly tasksByWorker = new Map<string, number>();

    /**
     * @param state - state of the entry
     */
    public constructor(private readonly state: EntryState) {
        this.isShort = state.linkBacklog.isShort(state.now);
        this.remainingBytes = state.linkBacklog.countSendableBytes(state.now);
        this.windowBytes = state.linkBacklog.maximumBytes;
    }

    /**
     * Tells whether a job has to wait because the link is full. Nothing is sent before a more urgent job that waits.
     *
     * @param job - job with waiting tasks
     * @returns true when none of its tasks may be sent now
     */
    public holds(job: DirectJob): boolean {
        if (this.heldBytes === 0 && this.remainingBytes > 0) {
            return false;
        }
        this.heldBytes += estimateJobBytes(job);
        this.state.linkBacklog.recordLimit(this.state.now);
        return true;
    }

    /**
     * Releases the bytes of a job that was held and is refused.
     *
     * @param job - job that will not be sent
     */
    public release(job: DirectJob): void {
        this.heldBytes -= estimateJobBytes(job);
    }

    /** True while further tasks of a job of which some were placed may be sent; a job is rarely divided. */
    public get canContinueJob(): boolean {
        return this.remainingBytes > -this.windowBytes;
    }

    /**
     * Estimates when the orders of a job would arrive, after those of the jobs that wait already.
     *
     * @param job - job with waiting tasks
     * @returns milliseconds; 0 while the link is not short
     */
    public estimateArrivalMilliseconds(job: DirectJob): number {
        const bytes = this.heldBytes === 0 ? estimateJobBytes(job) : this.heldBytes;
        return this.state.linkBacklog.estimateArrivalMilliseconds(bytes, this.state.now);
    }

    /**
     * Counts the tasks of a job that a worker gets in this round.
     *
     * @param agent - incarnation of the worker's agent
     * @param job - job of the tasks
     * @returns number of tasks
     */
    public countTasks(agent: string, job: DirectJob): number {
        return this.tasksByWorker.get(formatKey(agent, job)) ?? 0;
    }

    /**
     * Reserves the bytes of a placed task.
     *
     * @param agent - incarnation of the agent that receives the order
     * @param job - job of the task
     */
    public reserve(agent: string, job: DirectJob): void {
        const tasks = this.countTasks(agent, job);
        this.remainingBytes -= taskBytes + (tasks === 0 ? estimateCommonBytes(job) : 0);
        this.tasksByWorker.set(formatKey(agent, job), tasks + 1);
    }
}

/**
 * Estimates the bytes of start orders, whose common fields are sent once for each job.
 *
 * @param starts - orders of one frame, those of a job one after the other
 * @returns bytes
 */
export function estimateStartBytes(
    starts: readonly { readonly job: string; readonly specification: string }[],
): number {
    let bytes = 0;
    let previous: string | undefined;
    for (const start of starts) {
        bytes += taskBytes + (start.job === previous ? 0 : estimateCommonBytes(start));
        previous = start.job;
    }
    return bytes;
}

/**
 * Holds a job while the link is full, and refuses it if its orders could not arrive in time.
 *
 * @param state - state of the entry
 * @param link - what the link still carries
 * @param row - row of the job, whose tasks could be placed
 * @param refuse - refuses the job
 * @returns true when no task of the job is to be placed now
 */
export function holdForLink(
    state: EntryState,
    link: LinkAllowance,
    row: JobRow,
    refuse: (inputs: Readonly<Record<string, number>>) => void,
): boolean {
    if (!link.holds(row.job)) {
        return false;
    }
    const arrivalMilliseconds = link.estimateArrivalMilliseconds(row.job);
    if (
        !mayHaveStarted(row) && arrivalMilliseconds > 0 && state.now + arrivalMilliseconds > row.deadlines.latestStart
    ) {
        link.release(row.job);
        refuse({ linkMilliseconds: Math.round(arrivalMilliseconds) });
    }
    return true;
}

function estimateJobBytes(job: DirectJob): number {
    return estimateCommonBytes(job) + job.taskCount * taskBytes;
}

function estimateCommonBytes({ specification }: { readonly specification: string }): number {
    return jobOverheadBytes + specification.length;
}

function formatKey(agent: string, job: DirectJob): string {
    return `${job.id} ${agent}`;
}
