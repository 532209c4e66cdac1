/**
 * A TCP relay whose open connections can go silent for good, while new ones work.
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

const loopback = "127.0.0.1";

/** One relayed connection. */
interface RelayedConnection {
    readonly client: Socket;
    readonly target: Socket;
    isSilent: boolean;
}

/** Passes bytes between a port of its own and a target. */
export class SilentRelay {
    private readonly connections = new Set<RelayedConnection>();
    private server: Server | undefined;
    private target: string;
    private silencesNewConnections = false;

    /**
     * @param target - where the bytes go, as `address:port`
     */
    public constructor(target: string) {
        this.target = target;
    }

    /** Own address as `address:port`, once it listens. */
    public get address(): string {
        const { port } = this.server?.address() as AddressInfo;
        return `${loopback}:${port}`;
    }

    /** Connections that are open at the near end. */
    public get openConnections(): number {
        return this.connections.size;
    }

    /**
     * Listens.
     *
     * @param port - port to listen at; 0 takes a free one
     * @returns when it listens
     */
    public async start(port = 0): Promise<void> {
        const server = createServer(client => this.relayConnection(client));
        await new Promise<void>(resolve => {
            server.listen(port, loopback, resolve);
        });
        this.server = server;
    }

    /**
     * Changes where new connections go.
     *
     * @param target - the new target, as `address:port`
     */
    public retarget(target: string): void {
        this.target = target;
    }

    /**
     * Makes every open connection silent for good, in both directions and without closing it.
     *
     * @param includesNewConnections - whether connections that come later are silent too, until `restore`
     */
    public silence(includesNewConnections = false): void {
        this.silencesNewConnections = includesNewConnections;
        for (const connection of this.connections) {
            this.silenceConnection(connection);
        }
    }

    /** Lets new connections work; silent ones stay silent. */
    public restore(): void {
        this.silencesNewConnections = false;
    }

    /** Closes everything. */
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
        // Reading on keeps the sender from noticing that nobody takes its bytes.
        connection.client.resume();
        connection.target.resume();
    }
}
