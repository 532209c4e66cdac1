/**
 * The accepting side of the links: a WebSocket server for the tRPC router.
 */
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { applyWSSHandler } from "@trpc/server/adapters/ws";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { type WebSocket, WebSocketServer } from "ws";
import type { FrameCodec } from "./frameCodec.js";
import { LinkError } from "./linkError.js";
import type { LinkLimits } from "./linkLimits.js";
import type { PeerRouter } from "./peerRouter.js";

/** Path of the WebSocket endpoint for peers. */
export const peerPath = "/peers";
/** Timeout of the whole opening handshake. */
const handshakeTimeoutMilliseconds = 2_000;
/** Timeout of the closing handshake, after which the connection is terminated. */
const closeTimeoutMilliseconds = 250;
/** Interval between two checks for handshakes that have timed out. */
const handshakeCheckIntervalMilliseconds = 500;

/** Creates the status document of a process. */
export type CreateStatusDocument = () => Readonly<Record<string, unknown>>;

/** Accepts connections from peers. */
export class PeerListener {
    private readonly server: Server;
    private readonly socketServer: WebSocketServer;

    /**
     * @param router - answers the calls
     * @param codec - encodes the frames
     * @param limits - limits of connections, frame size and idle time
     * @param createStatusDocument - creates the response of `GET /status`; undefined when the process does not serve it
     */
    public constructor(
        router: PeerRouter,
        codec: FrameCodec,
        private readonly limits: LinkLimits,
        createStatusDocument: CreateStatusDocument | undefined,
    ) {
        this.server = createServer({
            headersTimeout: handshakeTimeoutMilliseconds,
            requestTimeout: handshakeTimeoutMilliseconds,
            connectionsCheckingInterval: handshakeCheckIntervalMilliseconds,
            noDelay: true,
        }, (request, response) => respondToHttpRequest(request, response, createStatusDocument));
        this.server.maxConnections = limits.maximumConnections;
        const socketOptions = {
            server: this.server,
            path: peerPath,
            maxPayload: limits.maximumFrameBytes,
            closeTimeout: closeTimeoutMilliseconds,
            perMessageDeflate: false,
        };
        this.socketServer = new WebSocketServer(socketOptions);
        this.socketServer.on("connection", (socket, request) => this.superviseConnection(socket, request));
        this.socketServer.on("error", () => undefined);
        applyWSSHandler({
            wss: this.socketServer,
            router,
            createContext: options => ({ socket: options.res }),
            experimental_encoder: codec,
            maxBatchSize: 1,
            onError: () => undefined,
        });
    }

    /**
     * Binds the port.
     *
     * @param address - IP address to listen on
     * @param port - port, or 0 for any free one
     * @returns the bound port, or the error when the port could not be bound
     */
    public listen(address: string, port: number): Promise<Result<number, LinkError>> {
        return new Promise(resolve => {
            const fail = (error: Error): void => {
                const remedy = "choose a free port and an address of this machine in the settings";
                resolve(
                    Err(
                        new LinkError(
                            "listen-failed",
                            `cannot listen on ${address}:${port}: ${error.message}; ${remedy}`,
                        ),
                    ),
                );
            };
            this.server.once("error", fail);
            this.server.listen(port, address, () => {
                this.server.off("error", fail);
                this.server.on("error", () => undefined);
                resolve(Ok((this.server.address() as AddressInfo).port));
            });
        });
    }

    /**
     * Closes all connections and stops listening.
     *
     * @returns a promise that resolves when the server is closed
     */
    public async close(): Promise<void> {
        for (const socket of this.socketServer.clients) {
            socket.close();
        }
        this.socketServer.close();
        await new Promise<void>(resolve => {
            this.server.close(() => resolve());
            this.server.closeIdleConnections();
        });
    }

    /** Terminates a connection on errors and when nothing was received for the inbound idle timeout. */
    private superviseConnection(socket: WebSocket, request: IncomingMessage): void {
        request.socket.setTimeout(this.limits.inboundIdleTimeoutMilliseconds, () => socket.terminate());
        socket.on("error", () => socket.terminate());
    }
}

/** Answers requests that are not WebSocket upgrades; only the operator's status command sends them. */
function respondToHttpRequest(
    request: IncomingMessage,
    response: ServerResponse,
    createStatusDocument: CreateStatusDocument | undefined,
): void {
    if (createStatusDocument === undefined || request.method !== "GET" || request.url !== "/status") {
        response.writeHead(426, { "connection": "close" }).end();
        return;
    }
    response.writeHead(200, { "content-type": "application/json", "connection": "close" });
    response.end(JSON.stringify(createStatusDocument()));
}
