/**
 * HTTP routes for operators: health, readiness, metrics and status.
 */
import type { Incarnation } from "@lovagepitch/types/identity";
import type { EntryStatus } from "../core/entryCore.js";
import type { RouteHandler } from "./callerRoutes.js";
import type { EntryMetrics } from "./entryMetrics.js";
import { sendJson } from "./httpResponses.js";

/** Conditions of readiness that are not met. */
export type MissingCondition = "configuration" | "registry" | "agents" | "stopping";

/** Constructor arguments of the routes. */
export interface OperatorRoutesDependencies {
    readonly incarnation: Incarnation;
    readonly getStatus: () => EntryStatus;
    /** Lists the conditions of readiness that are not met; empty when the entry is ready. */
    readonly listMissingConditions: () => readonly MissingCondition[];
    readonly isStoreHealthy: () => boolean;
    readonly metrics: EntryMetrics;
}

/** Handlers of the operators' routes. */
export class OperatorRoutes {
    /**
     * @param dependencies - incarnation, status, readiness and metrics of the entry
     */
    public constructor(private readonly dependencies: OperatorRoutesDependencies) {}

    /** `GET /healthz`: succeeds while the event loop of the process runs. */
    public readonly health: RouteHandler = (_request, response) => {
        sendJson(response, 200, { status: "ok" });
    };

    /** `GET /readyz`: tells the load balancer whether the entry accepts callers. */
    public readonly readiness: RouteHandler = (_request, response) => {
        const missing = this.dependencies.listMissingConditions();
        const ready = missing.length === 0;
        sendJson(response, ready ? 200 : 503, { ready, missing });
    };

    /** `GET /metrics`: returns the metrics in the Prometheus exposition format. */
    public readonly metrics: RouteHandler = async (_request, response) => {
        const text = await this.dependencies.metrics.expose();
        response.writeHead(200, { "content-type": this.dependencies.metrics.contentType }).end(text);
    };

    /** `GET /status`: returns a summary for the operator's status command. */
    public readonly status: RouteHandler = (_request, response) => {
        const { configurationVersion, agents, waitingTasks, runningTasks } = this.dependencies.getStatus();
        sendJson(response, 200, {
            incarnation: this.dependencies.incarnation,
            configurationVersion,
            ready: this.dependencies.listMissingConditions().length === 0,
            storeHealthy: this.dependencies.isStoreHealthy(),
            agents,
            waitingTasks,
            runningTasks,
        });
    };
}
