/**
 * The agent's port for its backend server and its operator, on the loopback address only.
 */
import type { BackendServerAnnouncement } from "@lovagepitch/types/registry";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import polka from "polka";
import { parseBackendServerOffer } from "./parseBackendServerOffer.js";

const loopback = "127.0.0.1";
const maximumBodyBytes = 65_536;
const requestTimeoutMilliseconds = 5_000;
const keepAliveMilliseconds = 5_000;
const maximumOpenConnections = 64;
const maximumHeaders = 64;

const okStatus = 200;
const badRequestStatus = 400;
const notFoundStatus = 404;
const tooLargeStatus = 413;
const failureStatus = 500;
const unavailableStatus = 503;

/** What the local port can ask of the agent. */
export abstract class LocalService {
    /**
     * Takes an announcement or its repetition.
     *
     * @param offer - what the backend server offers
     */
    public abstract handleAnnouncement(offer: BackendServerAnnouncement): void;

    /** Takes note that the backend server is leaving. */
    public abstract handleLeaving(): void;

    /**
     * Tells what is missing before the agent takes work.
     *
     * @returns the missing conditions; none when the agent is ready
     */
    public abstract findMissingConditions(): readonly string[];

    /**
     * Describes the agent.
     *
     * @returns a JSON object
     */
    public abstract describe(): Readonly<Record<string, unknown>>;

    /**
     * Reads the metrics.
     *
     * @returns their text and its content type
     */
    public abstract readMetrics(): Promise<{ readonly text: string; readonly contentType: string }>;
}

/** The port could not be bound. */
export class LocalServerError extends Error {
    /**
     * @param port - the port
     * @param cause - what the operating system said
     */
    public constructor(port: number, cause: Error) {
        super(`Port ${port} on ${loopback} cannot be bound (${cause.message}); set another localPort`, { cause });
        this.name = "LocalServerError";
    }
}

/** Serves the backend server and the operator. */
export class LocalServer {
    private readonly server: Server = createServer({
        requestTimeout: requestTimeoutMilliseconds,
        headersTimeout: requestTimeoutMilliseconds,
        keepAliveTimeout: keepAliveMilliseconds,
    });

    /**
     * @param service - the agent
     */
    public constructor(private readonly service: LocalService) {
        this.server.maxConnections = maximumOpenConnections;
        this.server.maxHeadersCount = maximumHeaders;
    }

    /**
     * Starts to listen.
     *
     * @param port - port to bind; 0 for any free one
     * @returns the bound port, or why it could not be bound
     */
    public async listen(port: number): Promise<Result<number, LocalServerError>> {
        this.registerRoutes();
        return new Promise(resolve => {
            this.server.once("error", error => resolve(Err(new LocalServerError(port, error))));
            this.server.listen(port, loopback, () => {
                resolve(Ok((this.server.address() as AddressInfo).port));
            });
        });
    }

    /**
     * Stops listening and closes every connection.
     *
     * @returns when everything is closed
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
        application.get("/status", (_request, response) => sendJson(response, okStatus, this.service.describe()));
        application.get("/metrics", (_request, response) => void this.sendMetrics(response));
        this.server.on("request", (request, response) => {
            void application.handler(request as never, response);
        });
    }

    private async handleAnnouncementRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readBody(request);
        if (body.err) {
            // Closing saves reading the rest of a body that is too large.
            response.setHeader("connection", "close");
            sendJson(response, body.val.status, { error: body.val.message });
            return;
        }
        const offer = parseBackendServerOffer(body.val);
        if (offer.err) {
            sendJson(response, badRequestStatus, { error: offer.val.message });
            return;
        }
        this.service.handleAnnouncement(offer.val);
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

/** A body that cannot be used. */
class InvalidBodyError extends Error {
    public constructor(public readonly status: number, message: string) {
        super(message);
    }
}

async function readBody(request: IncomingMessage): Promise<Result<unknown, InvalidBodyError>> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            bytes += chunk.length;
            if (bytes > maximumBodyBytes) {
                return Err(
                    new InvalidBodyError(tooLargeStatus, `the body is over ${maximumBodyBytes} bytes; name fewer`),
                );
            }
            chunks.push(chunk);
        }
        return Ok(JSON.parse(Buffer.concat(chunks).toString("utf8")) as unknown);
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
