/**
 * Tables of an agent.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import { Table } from "@lovagepitch/utils/table";
import type { DispatchConfiguration } from "../model/dispatchConfiguration.js";
import { type EndedRun, formatRunKey, type RunIdentity, type StartOrder } from "../model/frames.js";
import { addResources, noResources, type Resources, subtractResources } from "../model/resources.js";
import type { WorkerReport } from "../model/workerStatus.js";
import { initialWorkerHealth, type WorkerHealth } from "../policies/workerHealth.js";
import type { AgentOutput } from "./agentPorts.js";

/** A run that occupies the worker, or may. */
export interface RunRow {
    readonly identity: RunIdentity;
    /** Undefined for a run that was found at the worker and that this process did not start. */
    readonly order: StartOrder | undefined;
    /** Incarnation of the entry that ordered it; undefined for one that was found. */
    readonly entry: string | undefined;
    readonly state:
        /** The start has no answer yet. */
        | "starting"
        /** The answer to the start is lost or late; the next view shows whether the worker has accepted it. */
        | "unanswered"
        | "running"
        /** A stop is under way; it is repeated until the worker answers. */
        | "stopping"
        /** The worker has confirmed the stop; the run is gone once a later view does not list it. */
        | "stopped";
    readonly orderedAt: number;
    /** When the latest order about the run was sent. */
    readonly lastOrderSentAt: number;
    /** First view call that shows the effect of the worker's answer to the start or stop. */
    readonly visibleFromCall: number;
    /** When the worker accepted the start. */
    readonly runningSince: number;
    readonly percent: number;
    readonly percentChangedAt: number;
    /** What the entry is told when the worker lists the run as stopped. */
    readonly stopReason: "stopped" | "stalled" | "moved" | "not-started";
}

/** A start that waits for room. */
export interface QueuedOrder {
    readonly order: StartOrder;
    readonly entry: string;
    readonly receivedAt: number;
    /** Given back to its entry when it has not started by then. */
    readonly expiresAt: number;
}

/** An entry that the agent is, or was, connected to. */
export interface EntryRow {
    readonly address: string;
    readonly connection: "open" | "opening" | "closed";
    /** Incarnation of the entry's process; undefined until it has sent a frame. */
    readonly incarnation: string | undefined;
    /** The lease of the entry's runs counts from here. */
    readonly leaseRenewedAt: number;
    readonly lastActivityAt: number;
    readonly includedSequence: number;
    readonly hasSentFirstFrame: boolean;
    readonly configurationVersion: number;
    readonly retryAt: number;
    readonly pendingEnds: readonly EndedRun[];
    /** True when something changed that the entry should know. */
    readonly hasPendingUpdate: boolean;
}

/** The worker's present life. */
export interface WorkerRow {
    readonly report: WorkerReport;
    /** Earliest end of a draining worker; undefined when it is not draining or did not say. */
    readonly endsAt: number | undefined;
    /** Orders carry it; the worker ignores orders of a lower one, which an earlier process of this agent sent. */
    readonly epoch: number;
    /** True once the worker has answered a call of this epoch that names its life. */
    readonly isConfirmed: boolean;
    /** The worker's clock minus the agent's. */
    readonly clockOffset: number;
    readonly acknowledgedEndSequence: number;
    /** When the latest view that extended the lease was sent. */
    readonly leaseExtensionSentAt: number;
    readonly lastAnsweredAt: number;
    /** False after a call without an answer, until one is answered. */
    readonly isResponsive: boolean;
    readonly callInFlight: number | undefined;
    readonly nextCallAt: number;
}

/** Facts about the agent's own process. */
export interface AgentIdentity {
    /** Names one start of the process. */
    readonly incarnation: string;
    readonly instance: string;
    readonly availabilityZone: string;
}

/** Everything that an agent knows. */
export class AgentState {
    public readonly runs = new Table<string, RunRow>();
    public readonly queuedOrders = new Table<string, QueuedOrder>();
    public readonly entries = new Table<string, EntryRow>();
    /** Ends of the last seconds by entry incarnation, for an entry that connects again. */
    public readonly recentEnds = new Table<string, (EndedRun & { readonly endedAt: number })[]>();
    public worker: WorkerRow | undefined;
    /** Report of another life than the present one; it is used when the present one turns out to be over. */
    public pendingReport: WorkerReport | undefined;
    public configuration: DispatchConfiguration | undefined;
    public isShuttingDown = false;
    public hasStopped = false;
    public nextCall = 1;
    public health: WorkerHealth = initialWorkerHealth;
    /** Instant of the view whose progress was judged last. */
    public progressCheckedAt = 0;
    /** Instant of the view at which the worker's speed was measured last, and the progress of its runs then. */
    public speedMeasuredAt = 0;
    public percentsAtMeasurement: ReadonlyMap<string, number> = new Map();
    public readonly outputs: AgentOutput[] = [];
    private reserved: Resources = noResources;

    /**
     * @param identity - the process
     * @param clock - steady clock
     */
    public constructor(public readonly identity: AgentIdentity, public readonly clock: Clock) {}

    /** The steady time, in milliseconds. */
    public get now(): number {
        return this.clock.nowMilliseconds();
    }

    /** What no run occupies. */
    public get free(): Resources {
        return subtractResources(this.worker?.report.capacity ?? noResources, this.reserved);
    }

    /**
     * Adds a run; it occupies the worker from now on.
     *
     * @param row - the run
     */
    public addRun(row: RunRow): void {
        this.runs.set(formatRunKey(row.identity), row);
        this.reserved = addResources(this.reserved, row.order?.needs ?? noResources);
        this.markUpdatePending();
    }

    /**
     * Removes a run and frees what it occupied.
     *
     * @param row - the run
     */
    public removeRun(row: RunRow): void {
        if (this.runs.delete(formatRunKey(row.identity))) {
            this.reserved = subtractResources(this.reserved, row.order?.needs ?? noResources);
            this.markUpdatePending();
        }
    }

    /**
     * Takes a new judgement of the worker.
     *
     * @param health - how the worker does
     */
    public updateHealth(health: WorkerHealth): void {
        if (health === this.health) {
            return;
        }
        if (health.pausedUntil > this.health.pausedUntil) {
            this.log("warn", "worker gets no new tasks for a while", { pauseMilliseconds: health.pauseMilliseconds });
        }
        this.health = health;
        this.markUpdatePending();
    }

    /** Has every entry told of a change with the next frames. */
    public markUpdatePending(): void {
        for (const row of this.entries.values()) {
            if (!row.hasPendingUpdate) {
                this.entries.set(row.address, { ...row, hasPendingUpdate: true });
            }
        }
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
