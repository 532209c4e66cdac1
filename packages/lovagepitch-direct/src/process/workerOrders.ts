/**
 * Interface between an agent and its worker.
 */
import type { OrderOutcome, ViewFailure, WorkerView } from "../agent/agentPorts.js";
import type { RunIdentity, StartOrder } from "../model/frames.js";

/** Outcome of a view call: the view, or the reason for which there is none. */
export type ViewOutcome = { readonly kind: "view"; readonly view: WorkerView } | ViewFailure;

/** Calls to the worker of this agent. Every call completes within a bounded time. */
export abstract class WorkerOrders {
    /**
     * Orders the worker to start a run.
     *
     * @param worker - incarnation of the worker that the order is for
     * @param order - start order of the task
     * @param epoch - epoch of this agent's process
     * @param latestStart - instant after which the worker rejects the order, in milliseconds on the worker's clock
     * @returns outcome of the order
     */
    public abstract start(worker: string, order: StartOrder, epoch: number, latestStart: number): Promise<OrderOutcome>;

    /**
     * Orders the worker to stop a run.
     *
     * @param worker - incarnation of the worker that the order is for
     * @param run - run to stop
     * @param epoch - epoch of this agent's process
     * @returns outcome of the order
     */
    public abstract stop(worker: string, run: RunIdentity, epoch: number): Promise<OrderOutcome>;

    /**
     * Requests the running and ended runs, and extends the lease of all runs if the request says so.
     *
     * @param request - parameters of the view call
     * @returns the view, or the reason for which there is none
     */
    public abstract view(request: ViewRequest): Promise<ViewOutcome>;
}

/** Parameters of a view call. */
export interface ViewRequest {
    readonly worker: string;
    readonly epoch: number;
    /** End of the lease on the worker's clock, in milliseconds; undefined leaves the lease unchanged. */
    readonly leaseExpiresAt: number | undefined;
    readonly acknowledgedEndSequence: number;
    readonly waitMilliseconds: number;
}
