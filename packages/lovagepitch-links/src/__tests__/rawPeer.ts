/**
 * Raw clients and servers, for frames that no correct process sends.
 */
import { type AddressInfo, createServer, type Server } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import { peerPath } from "../peerListener.js";

/**
 * Opens a raw connection to a listener.
 *
 * @param address - address and port
 * @returns the open connection
 */
export function openRawConnection(address: string): Promise<WebSocket> {
    return new Promise((resolve, reject) => {
        const socket = new WebSocket(`ws://${address}${peerPath}`);
        socket.once("open", () => resolve(socket));
        socket.once("error", reject);
    });
}

/**
 * Waits for the next frame on a connection, or for its end.
 *
 * @param socket - open connection to read from
 * @returns the frame's text, or "closed" and the close code
 */
export function nextFrame(socket: WebSocket): Promise<string> {
    return new Promise(resolve => {
        const onClose = (code: number): void => resolve(`closed ${code}`);
        socket.once("close", onClose);
        socket.once("message", data => {
            socket.off("close", onClose);
            resolve((data as Buffer).toString());
        });
    });
}

/**
 * Starts a server that answers the first bytes of every connection and then closes it.
 *
 * @param answer - text that it writes before it closes the connection; may be empty
 * @returns the listening server
 */
export function startDisconnectingServer(answer: string): Promise<Server> {
    return new Promise(resolve => {
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => socket.end(answer));
        });
        server.listen(0, "127.0.0.1", () => resolve(server));
    });
}

/** A server that answers every call with a scripted frame. */
export class ScriptedServer {
    private readonly server = new WebSocketServer({ port: 0, host: "127.0.0.1", path: peerPath });

    /**
     * @param answer - creates the response frame for the id of a call
     */
    public constructor(answer: (id: number) => string | Buffer) {
        this.server.on("connection", socket => {
            socket.on("message", data => {
                const { id } = JSON.parse((data as Buffer).toString()) as { readonly id: number };
                socket.send(answer(id));
            });
        });
    }

    /** Waits until the server listens and returns its port. */
    public listen(): Promise<number> {
        return new Promise(resolve => {
            this.server.once("listening", () => resolve((this.server.address() as AddressInfo).port));
        });
    }

    /** Closes the server and its connections. */
    public close(): void {
        for (const socket of this.server.clients) {
            socket.terminate();
        }
        this.server.close();
    }
}
