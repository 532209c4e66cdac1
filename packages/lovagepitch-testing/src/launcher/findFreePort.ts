/**
 * Free ports for processes whose settings require a port number.
 */
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";

/**
 * Finds a free port on the loopback address.
 *
 * @returns the port number; another process may bind the port before the caller does
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
