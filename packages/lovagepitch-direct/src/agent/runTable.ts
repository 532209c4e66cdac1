/**
 * Table of an agent's runs, with indexes for what is looked up for each order.
 */
import { Table } from "@lovagepitch/utils/table";
import { formatRunKey, type RunIdentity } from "../model/frames.js";
import type { RunRow } from "./agentState.js";

/** Runs by the key of their number at the worker. */
export class RunTable extends Table<string, RunRow> {
    /** Keys by entry and run, as the entry knows it. */
    private readonly keysByOrder = new Map<string, string>();
    /** Keys by job. */
    private readonly keysByJob = new Map<string, Set<string>>();
    /** Number of runs by job and task. */
    private readonly runsByTask = new Map<string, number>();
    /** Keys of the runs whose start or stop order has not been answered. */
    private readonly openKeys = new Set<string>();

    /** {@inheritDoc @lovagepitch/utils#Table.set} */
    public override set(key: string, row: RunRow): void {
        if (!this.has(key)) {
            this.addToIndexes(key, row);
        }
        super.set(key, row);
        if (row.state === "starting" || row.state === "stopping") {
            this.openKeys.add(key);
        }
        else {
            this.openKeys.delete(key);
        }
    }

    /** {@inheritDoc @lovagepitch/utils#Table.delete} */
    public override delete(key: string): boolean {
        const row = this.get(key);
        if (row !== undefined) {
            this.removeFromIndexes(key, row);
        }
        this.openKeys.delete(key);
        return super.delete(key);
    }

    /**
     * Finds a run that an entry has ordered.
     *
     * @param entry - incarnation of the entry
     * @param identity - the run as the entry knows it
     * @returns its row, or undefined when the entry has no such run here
     */
    public findOrdered(entry: string, identity: RunIdentity): RunRow | undefined {
        const key = this.keysByOrder.get(formatOrderedKey(entry, identity));
        return key === undefined ? undefined : this.get(key);
    }

    /**
     * Lists the runs whose start or stop order has not been answered.
     *
     * @returns the rows; the table may be changed meanwhile
     */
    public listOpenOrders(): readonly RunRow[] {
        return [...this.openKeys].flatMap(key => this.get(key) ?? []);
    }

    /**
     * Counts the runs of a job.
     *
     * @param job - id of the job
     * @returns number of rows
     */
    public countOfJob(job: string): number {
        return this.keysByJob.get(job)?.size ?? 0;
    }

    /**
     * Tells whether there is a run of a task.
     *
     * @param job - id of the job
     * @param task - position of the task in its job
     * @returns true when there is one
     */
    public hasTask(job: string, task: number): boolean {
        return this.runsByTask.has(formatTaskKey(job, task));
    }

    private addToIndexes(key: string, { identity, entry }: RunRow): void {
        const { job, task } = identity;
        if (entry !== undefined) {
            this.keysByOrder.set(formatOrderedKey(entry, identity), key);
        }
        this.keysByJob.set(job, (this.keysByJob.get(job) ?? new Set()).add(key));
        const taskKey = formatTaskKey(job, task);
        this.runsByTask.set(taskKey, (this.runsByTask.get(taskKey) ?? 0) + 1);
    }

    private removeFromIndexes(key: string, { identity, entry }: RunRow): void {
        const { job, task } = identity;
        if (entry !== undefined) {
            this.keysByOrder.delete(formatOrderedKey(entry, identity));
        }
        const keys = this.keysByJob.get(job);
        keys?.delete(key);
        if (keys?.size === 0) {
            this.keysByJob.delete(job);
        }
        const taskKey = formatTaskKey(job, task);
        const runs = (this.runsByTask.get(taskKey) ?? 0) - 1;
        if (runs > 0) {
            this.runsByTask.set(taskKey, runs);
        }
        else {
            this.runsByTask.delete(taskKey);
        }
    }
}

function formatOrderedKey(entry: string, identity: RunIdentity): string {
    return `${entry} ${formatRunKey(identity)}`;
}

function formatTaskKey(job: string, task: number): string {
    return `${task}/${job}`;
}
