/**
 * State of a worker, as it reports it to its agent and as the agent reports it to entries.
 */
import type { Isolation } from "./frames.js";
import type { Resources } from "./resources.js";

/** Properties that one incarnation of a worker keeps. */
export interface WorkerRegistration {
    /** Id of the worker; a worker that restarts may get another one or keep it. */
    readonly id: string;
    /**
     * Start of the incarnation, in Unix milliseconds; it tells incarnations with the same id apart. Undefined when the
     * worker does not report it.
     */
    readonly startedAt?: number | undefined;
    readonly service: string;
    readonly capacity: Resources;
    readonly labels: readonly string[];
}

/** Periodic report of a worker to its agent. */
export interface WorkerReport extends WorkerRegistration {
    readonly isDraining: boolean;
    /** Shortest time until a draining worker ends, in milliseconds; undefined when it is not draining. */
    readonly drainRemainingMilliseconds: number | undefined;
    /** Worker's monotonic clock when it sent the report, in milliseconds. */
    readonly workerClock: number;
    /** Increases with each report of one incarnation, so that a delayed report can be recognized. */
    readonly sequence: number;
}

/** Names one report of a worker, with an instant that only the worker's own clock is needed to compare. */
export interface ReportInstant {
    /** Id of the worker. */
    readonly worker: string;
    /** Start of the incarnation, in Unix milliseconds; undefined when the worker does not report it. */
    readonly startedAt?: number | undefined;
    /** Worker's monotonic clock when it sent the report, in milliseconds. */
    readonly workerClock: number;
}

/** Capacity of a worker according to one of its reports. */
export interface ReportedCapacity extends ReportInstant {
    readonly capacity: Resources;
}

/** State of a worker that its agent reports to entries. */
export interface WorkerStatus {
    readonly service: string;
    readonly labels: readonly string[];
    readonly capacity: Resources;
    /** Capacity minus the resources of all runs that are running, are being stopped or may have started. */
    readonly free: Resources;
    /** Resources that the orders queued at the agent need. */
    readonly awaited: Resources;
    /** False while the worker drains, is unresponsive or paused, or its agent shuts down. */
    readonly acceptsTasks: boolean;
    /** True while the worker receives only one task at a time, because it failed or was slow. */
    readonly isOnTrial: boolean;
    /** Separation of the tasks that run; undefined while other tasks may run beside them. */
    readonly isolation?: Isolation | undefined;
    /**
     * Report that has the capacity; undefined before the worker has reported to the agent, once it drains, and in frames of earlier
     * versions.
     */
    readonly latestReport?: ReportInstant | undefined;
    /** True while the worker has not reported to the agent, which knows it from a record; undefined afterwards. */
    readonly isRestored?: boolean | undefined;
    /** Estimated run time divided by actual run time, learned from ended runs; undefined while it is unknown. */
    readonly speed?: number | undefined;
}
