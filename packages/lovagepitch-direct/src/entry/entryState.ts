/**
 * Tables of an entry.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import { Table } from "@lovagepitch/utils/table";
import type { DirectJob } from "../model/directJob.js";
import type { DispatchConfiguration } from "../model/dispatchConfiguration.js";
import type { RunIdentity, StartOrder } from "../model/frames.js";
import { type Resources, subtractResources } from "../model/resources.js";
import type { WorkerStatus } from "../model/workerStatus.js";
import type { JobDeadlines } from "../policies/jobDeadlines.js";
import { PriorityRanks } from "../policies/priorityRanks.js";
import { DrainRate } from "../policies/retryAfter.js";
import type { RunTimeDistribution } from "../policies/runTimeDistribution.js";
import type { WorkerHealth } from "../policies/workerHealth.js";
import type { EntryOutput } from "./entryPorts.js";

/** A job that has no answer yet. */
export interface JobRow {
    readonly job: DirectJob;
    /** Requests that wait for its answer; more than one when it was submitted again. */
    readonly requests: readonly number[];
    readonly acceptedAt: number;
    readonly deadlines: JobDeadlines;
    /** Tasks that wait for a worker. */
    readonly waitingTasks: readonly number[];
    /** Runs that were ordered and have not ended. */
    readonly openRuns: number;
    /** True once a run has ended that had begun. */
    readonly hasEndedRun: boolean;
    readonly succeededTasks: number;
    /** Agents on which a run of the job failed. */
    readonly failedOn: readonly string[];
}

/** A task with a run that may be at work. */
export interface PlacedTask {
    readonly identity: RunIdentity;
    readonly agent: string;
    readonly needs: Resources;
    readonly placedAt: number;
}

/** What is remembered of a task between its runs. */
export interface TaskHistory {
    /** Number of the latest run. */
    readonly latestRun: number;
    readonly failures: number;
    /** Agents that had it and did not bring it to an end. */
    readonly avoidedAgents: readonly string[];
}

/** An agent's process. */
export interface AgentRow {
    readonly agent: string;
    readonly instance: string;
    readonly availabilityZone: string;
    /** Undefined while it is not connected. */
    readonly connection: number | undefined;
    readonly lastFrameReceivedAt: number;
    /** `sentAt` of its newest frame, on its own clock. */
    readonly newestSentAt: number;
    readonly worker: WorkerStatus | undefined;
    /** Sequence of the latest frame to it. */
    readonly lastSentSequence: number;
    /** Starts that the newest free capacity does not include. */
    readonly unacknowledgedStarts: readonly { readonly sequence: number; readonly needs: Resources }[];
    readonly health: WorkerHealth;
    readonly configurationVersion: number;
    readonly lastFrameSentAt: number;
    readonly openRunCount: number;
}

/** Orders that go out with the next frame. */
export interface PendingOrders {
    readonly starts: StartOrder[];
    readonly stops: RunIdentity[];
}

/** Facts about the entry's own process. */
export interface EntryIdentity {
    /** Names one start of the process. */
    readonly incarnation: string;
    readonly instance: string;
    readonly availabilityZone: string;
}

/** Everything that an entry knows. */
export class EntryState {
    public readonly jobs = new Table<string, JobRow>();
    /** Placed tasks by run. */
    public readonly placed = new Table<string, PlacedTask>();
    /** History by task, only of jobs in `jobs`. */
    public readonly histories = new Table<string, TaskHistory>();
    /** Runs of jobs that are over and that may still be at work, by job, with the instant at which they cannot be. */
    public readonly stoppingRuns = new Table<string, ReadonlyMap<string, number>>();
    public readonly agents = new Table<string, AgentRow>();
    public readonly orders = new Map<string, PendingOrders>();
    public readonly entryAddresses = new Set<string>();
    /** Work that ends, in core-milliseconds. */
    public readonly drainRate: DrainRate;
    public readonly priorityRanks = new PriorityRanks();
    /** Run times by route. */
    public readonly runTimes = new Map<string, RunTimeDistribution>();
    public configuration: DispatchConfiguration | undefined;
    public isShuttingDown = false;
    /** True when a task may find a worker that it did not find before. */
    public isPlacementDue = false;
    public lastPlacementAt = 0;
    public readonly outputs: EntryOutput[] = [];

    /**
     * @param identity - the process
     * @param clock - steady clock
     * @param random - varies the choice of workers
     */
    public constructor(
        public readonly identity: EntryIdentity,
        public readonly clock: Clock,
        public readonly random: RandomSource,
    ) {
        this.drainRate = new DrainRate(clock.nowMilliseconds());
    }

    /** The steady time, in milliseconds. */
    public get now(): number {
        return this.clock.nowMilliseconds();
    }

    /**
     * Collects the orders for an agent's next frame.
     *
     * @param agent - the agent
     * @returns its pending orders, to be added to
     */
    public getPendingOrders(agent: string): PendingOrders {
        let orders = this.orders.get(agent);
        if (orders === undefined) {
            orders = { starts: [], stops: [] };
            this.orders.set(agent, orders);
        }
        return orders;
    }

    /**
     * Writes a log line.
     *
     * @param level - severity
     * @param event - what happened
     * @param fields - facts that decided it
     */
    public log(level: "info" | "warn", event: string, fields: Readonly<Record<string, unknown>>): void {
        this.outputs.push({ kind: "log", level, event, fields });
    }
}

/**
 * Tells whether a task of a job may have been started; such a job is never refused.
 *
 * @param row - the job
 * @returns false when it is certain that no task has begun or can begin
 */
export function mayHaveStarted(row: JobRow): boolean {
    return row.hasEndedRun || row.openRuns > 0;
}

/**
 * Works out what is free on an agent's worker.
 *
 * @param row - the agent
 * @returns the capacity that it reported, minus what waits there and starts that it had not seen by then
 */
export function computeAvailableResources(row: AgentRow): Resources | undefined {
    if (row.worker === undefined) {
        return undefined;
    }
    return row.unacknowledgedStarts.reduce(
        (rest, start) => subtractResources(rest, start.needs),
        subtractResources(row.worker.free, row.worker.awaited),
    );
}

/**
 * Makes the key of a task's history.
 *
 * @param job - id of the job
 * @param task - position of the task
 * @returns a key for maps
 */
export function formatTaskKey(job: string, task: number): string {
    return `${job}/${task}`;
}
