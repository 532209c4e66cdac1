/**
 * TCP addresses as they appear in settings: host and port, joined by a colon.
 */
import type { Server } from "node:net";

const maximumPort = 65_535;

/** Host and port of a TCP address. */
export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}

/**
 * Splits an address into host and port.
 *
 * @param address - host and port, joined by a colon
 * @returns the host and the numeric port
 */
export function splitAddress(address: string): SocketAddress {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

/**
 * Tells whether a text from another process is an address that can be connected to; for others, sockets throw errors.
 *
 * @param text - text to check
 * @returns true when it is a host and a port from 1 to 65,535, joined by a colon
 */
export function isSocketAddress(text: string): boolean {
    const { port } = splitAddress(text);
    // A port with a leading zero would be another spelling of the same address.
    return /^[^\s:]+:[1-9]\d{0,4}$/.test(text) && port <= maximumPort;
}

/**
 * Makes a server listen at an address.
 *
 * @param server - TCP or HTTP server that is not listening yet
 * @param address - host and port to bind; port 0 for any free one
 * @returns the bound port; rejects when the address cannot be bound
 */
export function listenAt(server: Server, address: SocketAddress): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, () => {
            const bound = server.address();
            resolve(typeof bound === "object" ? bound?.port ?? address.port : address.port);
        });
    });
}
