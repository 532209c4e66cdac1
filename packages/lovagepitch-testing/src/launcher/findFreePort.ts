/**
 * Ports for processes whose settings must name one.
 */
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";

/**
 * Finds a port of the loopback address that nothing listens at.
 *
 * @returns the port; another process may still take it first
 */
export async function findFreePort(): Promise<number> {
    const server = createServer();
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
}
