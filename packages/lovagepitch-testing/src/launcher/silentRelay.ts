/**
 * A TCP relay whose open connections can go silent for good, while new ones work.
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

const loopback = "127.0.0.1";

/** One relayed connection. */
interface RelayedConnection {
    readonly near: Socket;
    readonly far: Socket;
    isSilent: boolean;
}

/** Passes bytes between a port of its own and a target. */
export class SilentRelay {
    private readonly connections = new Set<RelayedConnection>();
    private server: Server | undefined;
    private target: string;
    private silencesNew = false;

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
        const server = createServer(near => this.relay(near));
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
     * @param alsoNewOnes - whether connections that come later are silent too, until `restore`
     */
    public silence(alsoNewOnes = false): void {
        this.silencesNew = alsoNewOnes;
        for (const connection of this.connections) {
            this.silenceConnection(connection);
        }
    }

    /** Lets new connections work; silent ones stay silent. */
    public restore(): void {
        this.silencesNew = false;
    }

    /** Closes everything. */
    public stop(): void {
        this.server?.close();
        for (const connection of this.connections) {
            connection.near.destroy();
            connection.far.destroy();
        }
        this.connections.clear();
    }

    private relay(near: Socket): void {
        const [host, port] = this.target.split(":");
        const far = connect(Number(port), host);
        const connection: RelayedConnection = { near, far, isSilent: false };
        this.connections.add(connection);
        this.pass(connection, near, far);
        this.pass(connection, far, near);
        if (this.silencesNew) {
            this.silenceConnection(connection);
        }
    }

    private pass(connection: RelayedConnection, from: Socket, to: Socket): void {
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
            if (connection.near.destroyed) {
                this.connections.delete(connection);
            }
        });
    }

    private silenceConnection(connection: RelayedConnection): void {
        connection.isSilent = true;
        // Reading on keeps the sender from noticing that nobody takes its bytes.
        connection.near.resume();
        connection.far.resume();
    }
}
