/**
 * TCP relay in front of the platform stand-in that counts requests and bytes.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

const loopback = "127.0.0.1";
const requestLinePattern = /^(GET|POST|PUT|DELETE) (\S+) HTTP/;

/** Requests and bytes that passed a relay. */
export interface Traffic {
    /** Reads of a single row or object. */
    readonly reads: number;
    /** Listings of rows. */
    readonly listings: number;
    readonly writes: number;
    /** Bytes towards the platform, headers included. */
    readonly requestBytes: number;
    /** Bytes from the platform, headers included. */
    readonly responseBytes: number;
}

const noTraffic: Traffic = { reads: 0, listings: 0, writes: 0, requestBytes: 0, responseBytes: 0 };

/** Forwards connections to a port of this host. */
export class TrafficRelay {
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private traffic: Traffic = noTraffic;

    /**
     * @param targetPort - port to forward connections to
     */
    public constructor(private readonly targetPort: number) {
        this.server = createServer(socket => this.relay(socket));
    }

    /** Requests and bytes since the relay started. */
    public get counts(): Traffic {
        return this.traffic;
    }

    /**
     * Starts listening on a free port.
     *
     * @returns base address of the relay
     */
    public async listen(): Promise<string> {
        await new Promise<void>(resolve => {
            this.server.listen(0, loopback, resolve);
        });
        return `http://${loopback}:${(this.server.address() as AddressInfo).port}`;
    }

    /** Stops listening and closes every connection. */
    public close(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    private relay(client: Socket): void {
        const target = connect(this.targetPort, loopback);
        for (const [socket, other] of [[client, target], [target, client]] as const) {
            this.sockets.add(socket);
            socket.on("error", () => other.destroy());
            socket.on("close", () => {
                this.sockets.delete(socket);
                other.destroy();
            });
        }
        client.on("data", (chunk: Buffer) => {
            this.countRequest(chunk);
            target.write(chunk);
        });
        target.on("data", (chunk: Buffer) => {
            this.traffic = { ...this.traffic, responseBytes: this.traffic.responseBytes + chunk.length };
            client.write(chunk);
        });
    }

    /** Counts a request by its head, which clients write as one chunk after the response to the previous request. */
    private countRequest(chunk: Buffer): void {
        const { traffic } = this;
        const match = requestLinePattern.exec(chunk.toString("latin1", 0, 200));
        const isRead = match?.[1] === "GET";
        const isListing = isRead && match[2]!.startsWith("/rows?");
        this.traffic = {
            ...traffic,
            reads: traffic.reads + (isRead && !isListing ? 1 : 0),
            listings: traffic.listings + (isListing ? 1 : 0),
            writes: traffic.writes + (match !== null && !isRead ? 1 : 0),
            requestBytes: traffic.requestBytes + chunk.length,
        };
    }
}

/**
 * Computes the traffic between two readings.
 *
 * @param later - later reading of the counts
 * @param earlier - earlier reading of the counts
 * @returns requests and bytes between the readings
 */
export function subtractTraffic(later: Traffic, earlier: Traffic): Traffic {
    return {
        reads: later.reads - earlier.reads,
        listings: later.listings - earlier.listings,
        writes: later.writes - earlier.writes,
        requestBytes: later.requestBytes - earlier.requestBytes,
        responseBytes: later.responseBytes - earlier.responseBytes,
    };
}
