/**
 * HTTP server for the backend server and for operators, which listens on the loopback address only.
 */
import type { BackendServerAnnouncement } from "@lovagepitch/types/registry";
import { ByteCollector } from "@lovagepitch/utils/byteCollector";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import polka from "polka";
import { parseAnnouncement } from "./backendServerAnnouncement.js";

const loopbackAddress = "127.0.0.1";
const maximumBodyBytes = 65_536;
const requestTimeoutMilliseconds = 5_000;
const keepAliveTimeoutMilliseconds = 5_000;
const maximumOpenConnections = 64;
const maximumHeaders = 64;

const okStatus = 200;
const badRequestStatus = 400;
const notFoundStatus = 404;
const tooLargeStatus = 413;
const failureStatus = 500;
const unavailableStatus = 503;

/** Operations of the agent that the local server calls. */
export abstract class LocalService {
    /**
     * Handles an announcement of the backend server.
     *
     * @param announcement - URL, slots, connections and services of the backend server
     */
    public abstract handleAnnouncement(announcement: BackendServerAnnouncement): void;

    /** Handles the request of the backend server to receive no new tasks. */
    public abstract handleLeaving(): void;

    /**
     * Finds the conditions that prevent the agent from accepting tasks.
     *
     * @returns the names of the missing conditions; empty when the agent is ready
     */
    public abstract findMissingConditions(): readonly string[];

    /**
     * Creates the body of `GET /status`.
     *
     * @returns an object that can be serialized as JSON
     */
    public abstract createStatusDocument(): Readonly<Record<string, unknown>>;

    /**
     * Reads all metrics.
     *
     * @returns the metrics in the Prometheus text format, and its content type
     */
    public abstract readMetrics(): Promise<{ readonly text: string; readonly contentType: string }>;
}

/** The local port could not be bound. */
export class LocalServerError extends Error {
    /**
     * @param port - configured port
     * @param cause - error of the operating system
     */
    public constructor(port: number, cause: Error) {
        super(`Port ${port} on ${loopbackAddress} cannot be bound (${cause.message}); set another localPort`, {
            cause,
        });
        this.name = "LocalServerError";
    }
}

/** Receives announcements of the backend server and serves health, status and metrics. */
export class LocalServer {
    private readonly server: Server = createServer({
        requestTimeout: requestTimeoutMilliseconds,
        headersTimeout: requestTimeoutMilliseconds,
        keepAliveTimeout: keepAliveTimeoutMilliseconds,
    });

    /**
     * @param service - operations that requests are forwarded to
     */
    public constructor(private readonly service: LocalService) {
        this.server.maxConnections = maximumOpenConnections;
        this.server.maxHeadersCount = maximumHeaders;
    }

    /**
     * Starts listening.
     *
     * @param port - port to bind; 0 for any free port
     * @returns the bound port, or an error that names the port and the cause
     */
    public async listen(port: number): Promise<Result<number, LocalServerError>> {
        this.registerRoutes();
        return new Promise(resolve => {
            this.server.once("error", error => resolve(Err(new LocalServerError(port, error))));
            this.server.listen(port, loopbackAddress, () => {
                resolve(Ok((this.server.address() as AddressInfo).port));
            });
        });
    }

    /**
     * Stops listening and closes all connections.
     *
     * @returns a promise that resolves when the server is closed
     */
    public async close(): Promise<void> {
        await new Promise<void>(resolve => {
            this.server.close(() => resolve());
            this.server.closeAllConnections();
        });
    }

    private registerRoutes(): void {
        const application = polka({
            onNoMatch: (_request, response) => {
                sendJson(response, notFoundStatus, { error: "there is nothing here; see the operators' guide" });
            },
            onError: (_error, _request, response) => {
                sendJson(response, badRequestStatus, { error: "the request cannot be read; check its address" });
            },
        });
        application.put(
            "/v1/backend-server",
            (request, response) => void this.handleAnnouncementRequest(request, response),
        );
        application.delete("/v1/backend-server", (_request, response) => {
            this.service.handleLeaving();
            sendJson(response, okStatus, {});
        });
        application.get("/healthz", (_request, response) => sendJson(response, okStatus, { status: "alive" }));
        application.get("/readyz", (_request, response) => this.sendReadiness(response));
        application.get(
            "/status",
            (_request, response) => sendJson(response, okStatus, this.service.createStatusDocument()),
        );
        application.get("/metrics", (_request, response) => void this.sendMetrics(response));
        this.server.on("request", (request, response) => {
            void application.handler(request as never, response);
        });
    }

    private async handleAnnouncementRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readBody(request);
        if (body.err) {
            // Closing the connection avoids reading the rest of a body that is too large.
            response.setHeader("connection", "close");
            sendJson(response, body.val.status, { error: body.val.message });
            return;
        }
        const announcement = parseAnnouncement(body.val);
        if (announcement.err) {
            sendJson(response, badRequestStatus, { error: announcement.val.message });
            return;
        }
        this.service.handleAnnouncement(announcement.val);
        sendJson(response, okStatus, {});
    }

    private sendReadiness(response: ServerResponse): void {
        const missing = this.service.findMissingConditions();
        sendJson(response, missing.length === 0 ? okStatus : unavailableStatus, {
            ready: missing.length === 0,
            missing,
        });
    }

    private async sendMetrics(response: ServerResponse): Promise<void> {
        try {
            const { text, contentType } = await this.service.readMetrics();
            response.writeHead(okStatus, { "content-type": contentType });
            response.end(text);
        }
        catch {
            sendJson(response, failureStatus, { error: "the metrics cannot be read; look at the agent's log" });
        }
    }
}

/** A request body that is too large or not JSON. */
class InvalidBodyError extends Error {
    public constructor(public readonly status: number, message: string) {
        super(message);
    }
}

async function readBody(request: IncomingMessage): Promise<Result<unknown, InvalidBodyError>> {
    const collector = new ByteCollector();
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            if (collector.length + chunk.length > maximumBodyBytes) {
                return Err(
                    new InvalidBodyError(tooLargeStatus, `the body is over ${maximumBodyBytes} bytes; name fewer`),
                );
            }
            collector.add(chunk);
        }
        return Ok(JSON.parse(collector.concat().toString("utf8")) as unknown);
    }
    catch {
        return Err(
            new InvalidBodyError(badRequestStatus, "the body is no JSON; send url, slots, connections and services"),
        );
    }
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
}
