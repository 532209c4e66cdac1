/**
 * The operators' routes: health, readiness, metrics and status.
 */
import type { Incarnation } from "@lovagepitch/types/identity";
import type { EntryStatus } from "../core/entryCore.js";
import type { RouteHandler } from "./callerRoutes.js";
import type { EntryMetrics } from "./entryMetrics.js";
import { sendJson } from "./httpResponses.js";

/** Conditions of readiness that are not met. */
export type MissingCondition = "configuration" | "registry" | "stopping";

/** What the routes need. */
export interface OperatorRoutesDependencies {
    readonly incarnation: Incarnation;
    readonly status: () => EntryStatus;
    /** Lists what keeps the entry from being ready; empty when it is. */
    readonly missingConditions: () => readonly MissingCondition[];
    readonly storeHealthy: () => boolean;
    readonly metrics: EntryMetrics;
}

/** Handlers of the operators' routes. */
export class OperatorRoutes {
    /**
     * @param dependencies - what the routes need
     */
    public constructor(private readonly dependencies: OperatorRoutesDependencies) {}

    /** `GET /healthz`: the process's loop runs. */
    public readonly health: RouteHandler = (_request, response) => {
        sendJson(response, 200, { status: "ok" });
    };

    /** `GET /readyz`: whether the balancer may send callers here. */
    public readonly readiness: RouteHandler = (_request, response) => {
        const missing = this.dependencies.missingConditions();
        const ready = missing.length === 0;
        sendJson(response, ready ? 200 : 503, { ready, missing });
    };

    /** `GET /metrics`: the exposition for Prometheus. */
    public readonly metrics: RouteHandler = async (_request, response) => {
        const text = await this.dependencies.metrics.expose();
        response.writeHead(200, { "content-type": this.dependencies.metrics.contentType }).end(text);
    };

    /** `GET /status`: a summary for the operator's command. */
    public readonly status: RouteHandler = (_request, response) => {
        const { configurationVersion, agents, waitingTasks, runningTasks } = this.dependencies.status();
        sendJson(response, 200, {
            incarnation: this.dependencies.incarnation,
            configurationVersion,
            ready: this.dependencies.missingConditions().length === 0,
            storeHealthy: this.dependencies.storeHealthy(),
            agents,
            waitingTasks,
            runningTasks,
        });
    };
}
