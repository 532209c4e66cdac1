/**
 * HTTP server whose connections share a budget of memory and descriptors.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { createServer as createTcpServer, type Server as TcpServer, type Socket } from "node:net";
import { listenAt, type SocketAddress } from "../links/listenAt.js";
import { type ClosingReason, ConnectionBudget } from "./connectionBudget.js";
import type { ConnectionLimits } from "./connectionLimits.js";
import { MeteredConnection } from "./meteredConnection.js";
import type { ReadingTurns } from "./readingTurns.js";

/** Part of the timeout for headers after which connections are checked again. */
const checkIntervalPart = 1 / 6;

/** Size above which the parser refuses headers or trailers, in bytes. */
const maximumParsedHeaderBytes = 256 * 1024;

/** Bytes that may precede a request without being part of its headers. */
const headerToleranceBytes = 4096;

/** Longest time from the headers of a request to the end of its body, in milliseconds. */
const bodyTimeoutMilliseconds = 300_000;

/** Status of a response to a request whose processing has thrown an error. */
const statusInternalServerError = 500;

const headersTooLarge =
    "HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
const requestTimeout = "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/** Limits of a request, which may change while the server runs. */
export interface RequestLimits {
    /** Largest size of the headers, in bytes. */
    readonly maximumHeaderBytes: number;
    /** Longest time from the first byte of the headers to their end, in milliseconds. */
    readonly headerTimeoutMilliseconds: number;
    /** Longest time between two requests, in milliseconds. */
    readonly idleTimeoutMilliseconds: number;
}

/** Limits of a listener whose clients are programs of the deployment. */
export const internalRequestLimits: RequestLimits = {
    maximumHeaderBytes: 16 * 1024,
    headerTimeoutMilliseconds: 10_000,
    idleTimeoutMilliseconds: 60_000,
};

/** Why a connection was closed or refused: to free resources, or because its client keeps to none of the limits. */
export type ConnectionEnd = ClosingReason | "headers-too-large" | "no-request" | "incomplete-body";

/** Reports connections that were closed by the server. */
export type ReportConnectionEnd = (listener: string, end: ConnectionEnd, heldBytes: number) => void;

/** Options of a server. */
export interface BoundedHttpServerOptions {
    /** Name of the listener in reports. */
    readonly listener: string;
    readonly clock: Clock;
    readonly limits: ConnectionLimits;
    /** Shared by all servers of the process. */
    readonly turns: ReadingTurns;
    /** Largest number of open requests at which a connection is read on. */
    readonly maximumOpenRequests: number;
    /** Returns the limits in force. */
    readonly getRequestLimits: () => RequestLimits;
    readonly onEnd: ReportConnectionEnd;
    /** Called with what the processing of a request has thrown. */
    readonly onDefect: (listener: string, error: unknown) => void;
    readonly onConnection?: (connection: MeteredConnection) => void;
    readonly onRequest: (request: IncomingMessage, response: ServerResponse, connection: MeteredConnection) => void;
}

/** HTTP server with bounded connections. */
export class BoundedHttpServer {
    private readonly http: Server;
    private readonly listener: TcpServer;
    private readonly budget: ConnectionBudget<MeteredConnection>;

    /**
     * @param options - limits and callbacks
     */
    public constructor(private readonly options: BoundedHttpServerOptions) {
        this.http = createServer({
            maxHeaderSize: maximumParsedHeaderBytes,
        });
        this.http.on("request", (request: IncomingMessage, response: ServerResponse) => {
            const connection = request.socket as unknown as MeteredConnection;
            connection.addRequest(request, response);
            if (!connection.destroyed) {
                this.processSafely(response, () => options.onRequest(request, response, connection));
            }
        });
        this.budget = new ConnectionBudget(options.limits, (reason, connection) => {
            options.onEnd(options.listener, reason, connection.heldBytes);
        });
        this.listener = createTcpServer({ allowHalfOpen: true, noDelay: true }, socket => this.accept(socket));
        this.scheduleCheck();
    }

    /** Number of open connections. */
    public get openConnections(): number {
        return this.budget.openConnections;
    }

    /**
     * Tells whether another request may be processed. A connection that has other open requests is refused first.
     *
     * @param connection - connection of the request, which counts as open
     * @returns true when the memory suffices
     */
    public hasRoomForRequest(connection: MeteredConnection): boolean {
        return this.budget.hasRoomForRequest(connection.openRequestCount > 1);
    }

    /**
     * Processes a part of a request, such as its complete body. An error that it throws is a defect; it costs this request instead of the
     * process with all others.
     *
     * @param response - response to the request, which gets status 500 after an error unless it has begun
     * @param handle - processes the part; it must not leave a state half changed that other requests use
     */
    public processSafely(response: ServerResponse, handle: () => void): void {
        try {
            handle();
        }
        catch (error) {
            this.options.onDefect(this.options.listener, error);
            if (response.headersSent) {
                response.destroy();
            }
            else {
                response.writeHead(statusInternalServerError, { "content-length": 0 }).end();
            }
        }
    }

    /** Bytes of memory that the connections hold, by an upper estimate. */
    public get heldBytes(): number {
        return this.budget.heldBytes;
    }

    /**
     * Starts listening.
     *
     * @param address - host and port to bind
     * @returns the bound port; rejects when the address cannot be bound
     */
    public listen(address: SocketAddress): Promise<number> {
        return listenAt(this.listener, address);
    }

    /** Closes connections that have been used and on which no request is open or arriving. */
    public closeIdleConnections(): void {
        for (const connection of [...this.budget.open]) {
            const { isIdle, finishedRequests, unfinishedSince } = connection;
            if (isIdle && finishedRequests > 0 && unfinishedSince === undefined) {
                connection.destroySoon();
            }
        }
    }

    private accept(socket: Socket): void {
        const connection: MeteredConnection = new MeteredConnection(socket, {
            maximumOpenRequests: this.options.maximumOpenRequests,
            maximumParsedHeaderBytes,
            nowMilliseconds: () => this.options.clock.nowMilliseconds(),
            turns: this.options.turns,
            onHeldChanged: difference => {
                this.budget.change(connection, difference);
                this.checkHeaders(connection);
            },
        });
        if (!this.budget.add(connection)) {
            return;
        }
        this.options.turns.recordAccepted();
        connection.once("close", () => this.budget.remove(connection));
        // Node.js tells clients this time and leaves the closing of such connections to `check`.
        this.http.keepAliveTimeout = this.options.getRequestLimits().idleTimeoutMilliseconds;
        this.options.onConnection?.(connection);
        this.http.emit("connection", connection);
    }

    /** Refuses headers without end, also empty lines, before the parser has read as much as it can hold. */
    private checkHeaders(connection: MeteredConnection): void {
        const { maximumHeaderBytes } = this.options.getRequestLimits();
        const isExceeded = connection.unfinishedBytes > maximumHeaderBytes + headerToleranceBytes;
        if (isExceeded && !connection.isReceivingBody && !connection.isRefused && !connection.destroyed) {
            this.options.onEnd(this.options.listener, "headers-too-large", connection.heldBytes);
            connection.refuse(headersTooLarge);
        }
    }

    private scheduleCheck(): void {
        const { headerTimeoutMilliseconds } = this.options.getRequestLimits();
        const timer = setTimeout(() => {
            // What arrived while the process was paused is read first.
            setImmediate(() => {
                this.check();
                this.scheduleCheck();
            });
        }, headerTimeoutMilliseconds * checkIntervalPart);
        timer.unref();
    }

    /** The timeouts of Node.js apply only to connections that its HTTP server has accepted by itself. */
    private check(): void {
        const limits = this.options.getRequestLimits();
        const now = this.options.clock.nowMilliseconds();
        for (const connection of [...this.budget.open]) {
            if (now <= findDueTime(connection, limits) || connection.isRefused) {
                continue;
            }
            if (connection.isReceivingBody) {
                this.options.onEnd(this.options.listener, "incomplete-body", connection.heldBytes);
                connection.close();
            }
            else if (connection.isUnused) {
                this.options.onEnd(this.options.listener, "no-request", connection.heldBytes);
                connection.refuse(requestTimeout);
            }
            else {
                connection.destroySoon();
            }
        }
    }
}

/** Finds the time at which the next request, or the rest of the latest one, has to have arrived. */
function findDueTime(connection: MeteredConnection, limits: RequestLimits): number {
    const { unfinishedSince, waitingSince } = connection;
    if (connection.isReceivingBody) {
        return connection.latestRequestAt + bodyTimeoutMilliseconds;
    }
    if (!connection.isIdle) {
        return Number.POSITIVE_INFINITY;
    }
    if (unfinishedSince !== undefined) {
        return Math.max(waitingSince, unfinishedSince) + limits.headerTimeoutMilliseconds;
    }
    return waitingSince
        + (connection.finishedRequests > 0 ? limits.idleTimeoutMilliseconds : limits.headerTimeoutMilliseconds);
}
