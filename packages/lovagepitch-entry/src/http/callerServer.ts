/**
 * HTTP server for callers and operators.
 */
import type { EventLog } from "@lovagepitch/utils/logger";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { createServer, type IncomingMessage, type Server, type ServerResponse, STATUS_CODES } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import polka from "polka";
import type { CallerRoutes, RoutedRequest, RouteHandler } from "./callerRoutes.js";
import { createProblemDocument, sendProblem } from "./httpResponses.js";
import { HttpServerError } from "./httpServerError.js";
import type { OperatorRoutes } from "./operatorRoutes.js";
import { hasUnreadBody } from "./requestBody.js";
import { createInternalErrorProblem, createMalformedProblem } from "./requestProblems.js";

const methods = ["GET", "POST", "PUT", "DELETE"] as const;

/** Limits of connections and requests; times in milliseconds, `maxHeaderSize` in bytes. */
const serverLimits = {
    headersTimeout: 10_000,
    requestTimeout: 30_000,
    keepAliveTimeout: 75_000,
    connectionsCheckingInterval: 1_000,
    maxHeaderSize: 8 * 1024,
    keepAlive: true,
    keepAliveInitialDelay: 30_000,
    noDelay: true,
};
const maximumConnections = 20_000;
const maximumHeaders = 64;

/** Constructor arguments of the server. */
export interface CallerServerDependencies {
    readonly callerRoutes: CallerRoutes;
    readonly operatorRoutes: OperatorRoutes;
    readonly eventLog: EventLog;
}

/** Serves callers and operators over HTTP/1.1. */
export class CallerServer {
    private readonly server: Server;
    private readonly router: polka.Polka;
    private readonly unfinishedResponses = new Set<ServerResponse>();
    private isStopping = false;

    /**
     * @param dependencies - routes for callers and operators, and the log
     */
    public constructor(private readonly dependencies: CallerServerDependencies) {
        this.router = polka({
            onNoMatch: (request: IncomingMessage, response: ServerResponse) =>
                this.refuseUnknownRoute(request, response),
        });
        this.addRoutes();
        this.server = createServer(serverLimits, (request, response) => this.handleRequest(request, response));
        this.server.maxConnections = maximumConnections;
        this.server.maxHeadersCount = maximumHeaders;
        this.server.on("clientError", (error, socket) => refuseMalformedRequest(error, socket as Socket));
    }

    /**
     * Binds the port.
     *
     * @param address - IP address to listen on
     * @param port - port to bind, or 0 for any free one
     * @returns the bound port, or an error that names the remedy
     */
    public listen(address: string, port: number): Promise<Result<number, HttpServerError>> {
        return new Promise(resolve => {
            const fail = (error: Error): void => {
                const remedy = "choose a free callerPort and an address of this machine in the settings";
                const message = `cannot listen on ${address}:${port}: ${error.message}; ${remedy}`;
                resolve(Err(new HttpServerError(message)));
            };
            this.server.once("error", fail);
            this.server.listen(port, address, () => {
                this.server.off("error", fail);
                resolve(Ok((this.server.address() as AddressInfo).port));
            });
        });
    }

    /** Closes each connection after its current response; requests in flight are still answered. */
    public startStopping(): void {
        this.isStopping = true;
        this.unfinishedResponses.forEach(closeAfterResponse);
    }

    /**
     * Stops listening and waits until every request in flight is answered.
     *
     * @returns a promise that resolves when the last connection has closed
     */
    public async close(): Promise<void> {
        this.startStopping();
        await new Promise<void>(resolve => {
            this.server.close(() => resolve());
            this.server.closeIdleConnections();
        });
    }

    /** Closes every connection, including those with requests in flight. */
    public closeConnections(): void {
        this.server.closeAllConnections();
    }

    private addRoutes(): void {
        const { callerRoutes, operatorRoutes } = this.dependencies;
        this.addRoute("POST", "/v1/submissions", callerRoutes.issue);
        this.addRoute("PUT", "/v1/submissions/:submission", callerRoutes.submit);
        this.addRoute("GET", "/v1/submissions/:submission", callerRoutes.query);
        this.addRoute("DELETE", "/v1/submissions/:submission", callerRoutes.cancel);
        this.addRoute("POST", "/v1/jobs", callerRoutes.submitWithKey);
        this.addRoute("GET", "/healthz", operatorRoutes.health);
        this.addRoute("GET", "/readyz", operatorRoutes.readiness);
        this.addRoute("GET", "/metrics", operatorRoutes.metrics);
        this.addRoute("GET", "/status", operatorRoutes.status);
    }

    private addRoute(method: typeof methods[number], pattern: string, handler: RouteHandler): void {
        this.router.add(method, pattern, (request, response) => {
            void this.runHandler(handler, request as RoutedRequest, response);
        });
    }

    private async runHandler(handler: RouteHandler, request: RoutedRequest, response: ServerResponse): Promise<void> {
        try {
            await handler(request, response);
        }
        catch (error) {
            this.handleInternalError(error, response);
        }
    }

    private handleRequest(request: IncomingMessage, response: ServerResponse): void {
        response.on("error", () => response.destroy());
        this.unfinishedResponses.add(response);
        response.once("close", () => this.unfinishedResponses.delete(response));
        if (this.isStopping) {
            closeAfterResponse(response);
        }
        try {
            this.router.handler(request as polka.Request, response);
        }
        catch (error) {
            this.handleInternalError(error, response);
        }
    }

    private handleInternalError(error: unknown, response: ServerResponse): void {
        const reason = error instanceof Error ? error.stack : String(error);
        this.dependencies.eventLog.logEvent(
            "error",
            "a request failed because of an internal error; report this log line",
            { reason },
        );
        sendProblem(response, createInternalErrorProblem(), { "connection": "close" });
    }

    private refuseUnknownRoute(request: IncomingMessage, response: ServerResponse): void {
        const path = (request.url ?? "").split("?")[0] ?? "";
        const allowed = methods.filter(method => this.router.find(method, path));
        const headers = hasUnreadBody(request) ? { "connection": "close" } : {};
        if (allowed.length === 0) {
            const remedy = "See the callers' guide for the paths of this API.";
            sendProblem(response, createMalformedProblem(404, "There is no such path", remedy), headers);
            return;
        }
        const remedy = `Use ${allowed.join(" or ")}.`;
        const problem = createMalformedProblem(405, "The path does not take this method", remedy);
        sendProblem(response, problem, { ...headers, "allow": allowed.join(", ") });
    }
}

/** Closes the connection after the response, unless its headers have been sent. */
function closeAfterResponse(response: ServerResponse): void {
    if (!response.headersSent) {
        response.setHeader("connection", "close");
    }
}

/** Responds to a request that the HTTP parser rejected, if the socket is still writable. */
function refuseMalformedRequest(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || error.code === "ECONNRESET" || socket.bytesWritten > 0) {
        socket.destroy();
        return;
    }
    const status = chooseStatus(error.code);
    const problem = createMalformedProblem(
        status,
        "The request is not HTTP/1.1 within the limits",
        "Mend the request.",
    );
    const body = JSON.stringify(createProblemDocument(problem));
    const lines = [
        `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
        "connection: close",
        "content-type: application/problem+json",
        `content-length: ${Buffer.byteLength(body)}`,
    ];
    socket.end(`${lines.join("\r\n")}\r\n\r\n${body}`);
}

function chooseStatus(code: string | undefined): number {
    if (code === "HPE_HEADER_OVERFLOW") {
        return 431;
    }
    return code === "ERR_HTTP_REQUEST_TIMEOUT" ? 408 : 400;
}
