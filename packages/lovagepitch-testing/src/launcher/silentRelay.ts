/**
 * TCP relay whose open connections can be made to drop all data permanently, while new connections work.
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

const loopback = "127.0.0.1";

/** A relayed connection. */
interface RelayedConnection {
    readonly client: Socket;
    readonly target: Socket;
    isSilent: boolean;
}

/** Relays connections from a local port to a target. */
export class SilentRelay {
    private readonly connections = new Set<RelayedConnection>();
    private server: Server | undefined;
    private target: string;
    private silencesNewConnections = false;

    /**
     * @param target - address that connections are relayed to, as `address:port`
     */
    public constructor(target: string) {
        this.target = target;
    }

    /** Address of the relay as `address:port`, available after `start`. */
    public get address(): string {
        const { port } = this.server?.address() as AddressInfo;
        return `${loopback}:${port}`;
    }

    /** Number of connections that are open on the client's side. */
    public get openConnections(): number {
        return this.connections.size;
    }

    /**
     * Starts to listen on the loopback address.
     *
     * @param port - port to listen on; 0 selects a free one
     * @returns resolves when the relay listens
     */
    public async start(port = 0): Promise<void> {
        const server = createServer(client => this.relayConnection(client));
        await new Promise<void>(resolve => {
            server.listen(port, loopback, resolve);
        });
        this.server = server;
    }

    /**
     * Changes the target of new connections.
     *
     * @param target - address that new connections are relayed to, as `address:port`
     */
    public retarget(target: string): void {
        this.target = target;
    }

    /**
     * Makes all open connections drop their data permanently, in both directions and without closing them.
     *
     * @param includesNewConnections - whether new connections are silent, too, until `restore` is called
     */
    public silence(includesNewConnections = false): void {
        this.silencesNewConnections = includesNewConnections;
        for (const connection of this.connections) {
            this.silenceConnection(connection);
        }
    }

    /** Makes new connections work again; silent connections stay silent. */
    public restore(): void {
        this.silencesNewConnections = false;
    }

    /** Stops listening and closes all connections. */
    public stop(): void {
        this.server?.close();
        for (const connection of this.connections) {
            connection.client.destroy();
            connection.target.destroy();
        }
        this.connections.clear();
    }

    private relayConnection(client: Socket): void {
        const [host, port] = this.target.split(":");
        const target = connect(Number(port), host);
        const connection: RelayedConnection = { client, target, isSilent: false };
        this.connections.add(connection);
        this.forward(connection, client, target);
        this.forward(connection, target, client);
        if (this.silencesNewConnections) {
            this.silenceConnection(connection);
        }
    }

    private forward(connection: RelayedConnection, from: Socket, to: Socket): void {
        from.on("data", chunk => {
            if (!connection.isSilent) {
                to.write(chunk);
            }
        });
        from.on("end", () => {
            if (!connection.isSilent) {
                to.end();
            }
        });
        from.on("error", () => undefined);
        from.on("close", () => {
            if (!connection.isSilent) {
                to.destroy();
            }
            if (connection.client.destroyed) {
                this.connections.delete(connection);
            }
        });
    }

    private silenceConnection(connection: RelayedConnection): void {
        connection.isSilent = true;
        // Continues to read and discards the data, so that the sender sees no backpressure.
        connection.client.resume();
        connection.target.resume();
    }
}
