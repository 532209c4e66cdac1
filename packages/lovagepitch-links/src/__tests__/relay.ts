/**
 * A TCP relay that can stop forwarding on connections while it keeps them open.
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

/** Relays every accepted connection to one target port. */
export class Relay {
    /** Connections accepted so far. */
    public accepted = 0;
    /** Connections that ended so far. */
    public ended = 0;

    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private discardsNewConnections = false;

    /**
     * @param targetPort - port on 127.0.0.1 to relay to
     */
    public constructor(targetPort: number) {
        this.server = createServer(inbound => {
            this.accepted += 1;
            const outbound = connect(targetPort, "127.0.0.1");
            this.forward(inbound, outbound);
            this.forward(outbound, inbound);
            inbound.on("close", () => {
                this.ended += 1;
            });
            if (this.discardsNewConnections) {
                this.discardData(inbound);
                this.discardData(outbound);
            }
        });
    }

    /** Starts accepting connections and returns the port. */
    public listen(): Promise<number> {
        return new Promise(resolve => {
            this.server.listen(0, "127.0.0.1", () => resolve((this.server.address() as AddressInfo).port));
        });
    }

    /** Stops forwarding on all open connections; new connections work. */
    public discardOpenConnections(): void {
        for (const socket of this.sockets) {
            this.discardData(socket);
        }
    }

    /** Stops forwarding on all open and all new connections. */
    public discardAllConnections(): void {
        this.discardsNewConnections = true;
        this.discardOpenConnections();
    }

    /** Closes the relay and its connections. */
    public close(): void {
        this.server.close();
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    private forward(from: Socket, to: Socket): void {
        this.sockets.add(from);
        from.setNoDelay(true);
        from.on("data", data => to.write(data));
        from.on("error", () => undefined);
        from.on("close", () => {
            this.sockets.delete(from);
            to.destroy();
        });
    }

    private discardData(socket: Socket): void {
        socket.removeAllListeners("data");
        socket.on("data", () => undefined);
    }
}
