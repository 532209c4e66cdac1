/**
 * Interface between an agent and its worker.
 */
import type { AgentOutput, OrderOutcome, ViewFailure, WorkerView } from "../agent/agentPorts.js";

/** Outcome of a view call: the view, or the reason for which there is none. */
export type ViewOutcome = { readonly kind: "view"; readonly view: WorkerView } | ViewFailure;

/** Order to start a run. */
export type StartRequest = Omit<AgentOutput & { readonly kind: "start" }, "kind">;

/** Order to stop a run. */
export type StopRequest = Omit<AgentOutput & { readonly kind: "stop" }, "kind">;

/** Parameters of a view call. */
export type ViewRequest = Omit<AgentOutput & { readonly kind: "view" }, "kind" | "call">;

/** Calls to the worker of this agent. Every call completes within its timeout. */
export abstract class WorkerOrders {
    /**
     * Orders the worker to start a run.
     *
     * @param request - the order, its epoch, latest start and timeout
     * @returns outcome of the order
     */
    public abstract start(request: StartRequest): Promise<OrderOutcome>;

    /**
     * Orders the worker to stop a run.
     *
     * @param request - the run, the epoch and the timeout
     * @returns outcome of the order
     */
    public abstract stop(request: StopRequest): Promise<OrderOutcome>;

    /**
     * Requests the running and ended runs, and extends the lease of all runs if the request says so.
     *
     * @param request - parameters of the view call
     * @returns the view, or the reason for which there is none
     */
    public abstract view(request: ViewRequest): Promise<ViewOutcome>;
}
