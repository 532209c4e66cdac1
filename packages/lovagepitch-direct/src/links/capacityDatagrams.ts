/**
 * Requests for capacity and messages about open jobs between entries, one UDP datagram each. A lost one is replaced by the
 * next, and no connection is kept for entries that rarely exchange any.
 */
import { parseUntrustedJson } from "@lovagepitch/utils/untrustedJson";
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import type { CapacityRequest } from "../model/capacityRequest.js";
import type { OwnershipMessage } from "../model/jobOwnership.js";
import { isCapacityRequest } from "./frameGuards.js";
import { splitAddress } from "./listenAt.js";
import { isOwnershipMessage } from "./ownershipGuards.js";

const ipVersion = 4;

/** Sends and receives requests for capacity and messages about open jobs. */
export class CapacityDatagrams {
    private readonly socket: Socket = createSocket({
        type: "udp4",
        // All addresses are numeric; the default looks each one up.
        // eslint-disable-next-line no-restricted-syntax -- the callback takes null
        lookup: (hostname, _options, callback) => callback(null, hostname, ipVersion),
    });
    /** The latest message, which often goes to several entries, and its text. */
    private latest: { readonly message: CapacityRequest | OwnershipMessage; readonly text: string } | undefined;
    private sent = 0;
    private received = 0;

    /**
     * @param onRequest - called with each received request
     * @param onFailure - called with the reason when a datagram cannot be sent or is none of these messages
     * @param onOwnership - called with each received message about open jobs
     */
    public constructor(
        private readonly onRequest: (request: CapacityRequest) => void,
        private readonly onFailure: (reason: string) => void,
        private readonly onOwnership: (message: OwnershipMessage) => void = () => undefined,
    ) {
        this.socket.on("message", data => this.receive(data));
    }

    /** Number of datagrams that were sent. */
    public get sentCount(): number {
        return this.sent;
    }

    /** Number of datagrams that have arrived. */
    public get receivedCount(): number {
        return this.received;
    }

    /**
     * Starts receiving.
     *
     * @param host - IP address to bind
     * @param port - UDP port; 0 for any free one
     * @returns resolves when the port is bound; rejects when it cannot be bound
     */
    public async listen(host: string, port: number): Promise<void> {
        const listening = once(this.socket, "listening");
        this.socket.bind(port, host);
        await listening;
        this.socket.on("error", error => this.onFailure(error.message));
    }

    /**
     * Sends a request or message.
     *
     * @param address - host and port of the other entry
     * @param message - request or message to send, which is not changed later
     */
    public send(address: string, message: CapacityRequest | OwnershipMessage): void {
        this.sent += 1;
        const { host, port } = splitAddress(address);
        if (this.latest?.message !== message) {
            this.latest = { message, text: JSON.stringify(message) };
        }
        this.socket.send(this.latest.text, port, host, error => {
            if (error !== null) {
                this.onFailure(error.message);
            }
        });
    }

    /** Stops receiving. */
    public close(): void {
        this.socket.close();
    }

    private receive(data: Buffer): void {
        this.received += 1;
        const value = parseUntrustedJson(data);
        if (isCapacityRequest(value)) {
            this.onRequest(value);
        }
        else if (isOwnershipMessage(value)) {
            this.onOwnership(value);
        }
        else {
            this.onFailure("a datagram is not a request for capacity; only entries may send to this port");
        }
    }
}
