/**
 * Ports for processes whose settings require a port number. A port that was bound as 0 and closed again may be assigned
 * to another listener or to an outgoing connection before the process binds it; the ports of a block are not.
 */
import { randomInt } from "node:crypto";
import { once } from "node:events";
import { createServer, type Server } from "node:net";

const loopback = "127.0.0.1";

/** First port of the first block; the ports below it belong to well-known services. */
const firstPort = 12_288;

/** End of the last block; the system assigns ports to connections and listeners from 32768 on. */
const endPort = 32_768;

/** Number of ports of a block, of which the first reserves the block. */
const portsPerBlock = 64;

/** Thrown when no block is free, or a block has no further port. */
export class PortBlockError extends Error {
    /**
     * @param message - cause and its remedy
     */
    public constructor(message: string) {
        super(message);
        this.name = "PortBlockError";
    }
}

/** Block of ports of the loopback address that no other holder of a block uses, in this process or in another. */
export class PortBlock {
    private nextPort: number;

    private constructor(private readonly lock: Server, private readonly start: number) {
        this.nextPort = start + 1;
    }

    /**
     * Reserves a block whose ports are all free.
     *
     * @param blocks - first ports of the blocks to try; all blocks in a rotated order by default
     * @returns the block, which the caller releases after its processes have ended
     * @throws PortBlockError when every block is in use
     */
    public static async reserve(blocks: readonly number[] = listBlocks()): Promise<PortBlock> {
        for (const start of blocks) {
            const lock = await listen(start);
            if (lock === undefined) {
                continue;
            }
            if (await areAllFree(start + 1, start + portsPerBlock)) {
                return new PortBlock(lock, start);
            }
            await close(lock);
        }
        throw new PortBlockError("every block of ports is in use; end deployments of earlier runs");
    }

    /**
     * Returns a port of the block that has not been returned before.
     *
     * @returns the port number
     * @throws PortBlockError when the block has no further port
     */
    public takePort(): number {
        const port = this.nextPort;
        if (port >= this.start + portsPerBlock) {
            throw new PortBlockError(`a block has ${portsPerBlock - 1} ports; reserve another block`);
        }
        this.nextPort += 1;
        return port;
    }

    /**
     * Makes the block available to others.
     *
     * @returns resolves when the block is available
     */
    public async release(): Promise<void> {
        await close(this.lock);
    }
}

/** Lists the first ports of all blocks, starting at a random one so that concurrent processes rarely try the same. */
function listBlocks(): readonly number[] {
    const count = Math.floor((endPort - firstPort) / portsPerBlock);
    const offset = randomInt(count);
    return Array.from({ length: count }, (_, index) => firstPort + ((index + offset) % count) * portsPerBlock);
}

async function areAllFree(start: number, end: number): Promise<boolean> {
    for (let port = start; port < end; port += 1) {
        const server = await listen(port);
        if (server === undefined) {
            return false;
        }
        await close(server);
    }
    return true;
}

/** Listens at a port, or returns undefined when the port is in use. */
async function listen(port: number): Promise<Server | undefined> {
    const server = createServer();
    try {
        server.listen(port, loopback);
        await once(server, "listening");
        return server;
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "EADDRINUSE") {
            return undefined;
        }
        throw error;
    }
}

async function close(server: Server): Promise<void> {
    server.close();
    await once(server, "close");
}
