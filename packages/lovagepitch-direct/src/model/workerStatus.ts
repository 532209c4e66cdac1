/**
 * A worker as its agent knows it.
 */
import type { Resources } from "./resources.js";

/** What a worker reports about itself. */
export interface WorkerReport {
    /** Names one life of the worker; it changes when the worker restarts. */
    readonly id: string;
    readonly service: string;
    readonly capacity: Resources;
    readonly labels: readonly string[];
    readonly isDraining: boolean;
    /** Least time until a draining worker ends, in milliseconds; undefined when it is not draining. */
    readonly drainRemainingMilliseconds: number | undefined;
    /** The worker's steady clock when it sent the report, in milliseconds. */
    readonly workerClock: number;
    /** Increases with each report of one life, so that a late one can be told. */
    readonly sequence: number;
}

/** What an agent tells entries about its worker. */
export interface WorkerStatus {
    readonly service: string;
    readonly labels: readonly string[];
    readonly capacity: Resources;
    /** Capacity minus everything that runs, is being stopped, or may have been started. */
    readonly free: Resources;
    /** What the orders need that wait at the agent for room. */
    readonly awaited: Resources;
    /** False while the worker drains, is silent, or its agent shuts down. */
    readonly acceptsTasks: boolean;
    /** True while the worker is tried with one task at a time, because it failed or was slow. */
    readonly isOnTrial: boolean;
}
