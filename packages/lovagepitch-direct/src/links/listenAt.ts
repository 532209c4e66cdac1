/**
 * Addresses in settings: host and port as one text.
 */
import type { Server } from "node:net";

/** Host and port of a TCP address. */
export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}

/**
 * Splits an address.
 *
 * @param address - host and port, joined by a colon
 * @returns both parts
 */
export function splitAddress(address: string): SocketAddress {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

/**
 * Has a server listen.
 *
 * @param server - the server
 * @param address - where
 * @returns the port, which the system chooses for port 0; rejects when it cannot be bound
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
