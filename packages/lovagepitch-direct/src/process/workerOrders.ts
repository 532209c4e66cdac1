/**
 * How an agent speaks to its worker.
 */
import type { OrderOutcome, ViewFailure, WorkerView } from "../agent/agentPorts.js";
import type { RunIdentity, StartOrder } from "../model/frames.js";

/** What became of a request for a view. */
export type ViewOutcome = { readonly kind: "view"; readonly view: WorkerView } | ViewFailure;

/** Orders to the worker beside this agent. Every call ends within a bounded time. */
export abstract class WorkerOrders {
    /**
     * Orders a start.
     *
     * @param worker - the life that is meant
     * @param order - the task
     * @param epoch - of this agent's process
     * @param latestStart - on the worker's clock, in milliseconds
     * @returns what became of it
     */
    public abstract start(worker: string, order: StartOrder, epoch: number, latestStart: number): Promise<OrderOutcome>;

    /**
     * Orders a stop.
     *
     * @param worker - the life that is meant
     * @param run - the run
     * @param epoch - of this agent's process
     * @returns what became of it
     */
    public abstract stop(worker: string, run: RunIdentity, epoch: number): Promise<OrderOutcome>;

    /**
     * Asks what runs and what has ended, and may extend the lease of everything there.
     *
     * @param request - what is asked
     * @returns the view, or why there is none
     */
    public abstract view(request: ViewRequest): Promise<ViewOutcome>;
}

/** A request for a view. */
export interface ViewRequest {
    readonly worker: string;
    readonly epoch: number;
    /** On the worker's clock, in milliseconds; undefined leaves the lease as it is. */
    readonly leaseExpiresAt: number | undefined;
    readonly acknowledgedEndSequence: number;
    readonly waitMilliseconds: number;
}
