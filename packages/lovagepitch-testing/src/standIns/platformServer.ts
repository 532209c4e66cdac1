/**
 * Stand-in for the platform's HTTP interface, backed by the in-memory stand-ins.
 */
import { SystemDelay } from "@lovagepitch/platform/delay";
import type { PlatformError } from "@lovagepitch/platform/platformError";
import {
    maximumObjectBytes,
    maximumTableBodyBytes,
    platformStatus,
    transactionPath,
    transactionSchema,
} from "@lovagepitch/platform/platformProtocol";
import type { ConditionalWrite } from "@lovagepitch/platform/tableService";
import type { Result } from "@lovagepitch/utils/result";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import polka from "polka";
import { MemoryObjectStore, MemoryTable } from "./memoryPlatform.js";
import { parseFaultSettings, PlatformFaults } from "./platformFaults.js";

const badRequestStatus = 400;
const maximumFaultsBytes = 4096;

/** Options of the stand-in. */
export interface PlatformServerOptions {
    /** Port to listen on; 0, the default, selects a free one. */
    readonly port?: number;
    /** Address to listen on; 127.0.0.1 by default. */
    readonly address?: string;
}

/** A running stand-in. */
export interface PlatformServer {
    /** Base URL, as `http://address:port`. */
    readonly url: string;
    readonly faults: PlatformFaults;
    readonly table: MemoryTable;
    readonly objects: MemoryObjectStore;
    /** Stops listening and closes all connections. */
    readonly close: () => Promise<void>;
}

/**
 * Starts a stand-in for the platform.
 *
 * @param options - address and port to listen on
 * @returns the running stand-in
 */
export async function startPlatformServer(options: PlatformServerOptions = {}): Promise<PlatformServer> {
    const delay = new SystemDelay();
    const faults = new PlatformFaults(milliseconds => delay.wait(milliseconds));
    const table = new MemoryTable(faults);
    const objects = new MemoryObjectStore(faults);
    const server = createServer();
    const application = polka({ server });
    addTableRoutes(application, table);
    addObjectRoutes(application, objects);
    addFaultRoutes(application, faults);
    const address = options.address ?? "127.0.0.1";
    await listen(application, server, options.port ?? 0, address);
    const { port } = server.address() as AddressInfo;
    return { url: `http://${address}:${port}`, faults, table, objects, close: () => close(server) };
}

type Handler = (request: Parameters<polka.Middleware>[0], response: ServerResponse) => Promise<void>;

/** Wraps a handler so that an aborted request or a malformed path fails only that request, not the stand-in. */
function handleErrors(handle: Handler): polka.Middleware {
    return (request, response) => {
        handle(request, response).catch(() => {
            if (response.headersSent || response.destroyed) {
                response.destroy();
                return;
            }
            sendJson(response, badRequestStatus, { error: "the request is malformed" });
        });
    };
}

function addTableRoutes(application: polka.Polka, table: MemoryTable): void {
    application.get(
        "/rows/:key",
        handleErrors(async (request, response) => {
            const row = await table.read(getPathParameter(request, "key"));
            sendResult(response, table.faults, row.map(found => found === undefined ? undefined : { row: found }));
        }),
    );
    application.get(
        "/rows",
        handleErrors(async (request, response) => {
            const prefix = new URL(request.url, "http://stand-in").searchParams.get("prefix") ?? "";
            const rows = await table.list(prefix);
            sendResult(response, table.faults, rows.map(found => ({ rows: found })));
        }),
    );
    application.post(
        transactionPath,
        handleErrors(async (request, response) => {
            const parsed = transactionSchema.safeParse(parseJson(await readBody(request, maximumTableBodyBytes)));
            if (!parsed.success) {
                sendJson(response, badRequestStatus, { error: parsed.error.message });
                return;
            }
            const writes = parsed.data.writes.map(({ key, condition, value }): ConditionalWrite => ({
                key,
                condition,
                value,
            }));
            const etags = await table.write(writes);
            sendResult(response, table.faults, etags.map(written => ({ etags: written })));
        }),
    );
}

function addObjectRoutes(application: polka.Polka, objects: MemoryObjectStore): void {
    application.put(
        "/objects/:name",
        handleErrors(async (request, response) => {
            const body = await readBody(request, maximumObjectBytes);
            if (body === undefined) {
                sendJson(response, badRequestStatus, { error: "the object is too large" });
                return;
            }
            const written = await objects.put(getPathParameter(request, "name"), body);
            sendResult(response, objects.faults, written.map(() => ({})));
        }),
    );
    application.get(
        "/objects/:name",
        handleErrors(async (request, response) => {
            const body = await objects.get(getPathParameter(request, "name"));
            if (body.ok && body.val !== undefined) {
                response.writeHead(platformStatus.ok, { "content-type": "application/octet-stream" });
                response.end(body.val);
                return;
            }
            sendResult(response, objects.faults, body.map(() => undefined));
        }),
    );
}

function addFaultRoutes(application: polka.Polka, faults: PlatformFaults): void {
    application.put(
        "/faults",
        handleErrors(async (request, response) => {
            const settings = parseFaultSettings(parseJson(await readBody(request, maximumFaultsBytes)));
            if (settings.err) {
                sendJson(response, badRequestStatus, { error: settings.val.message });
                return;
            }
            faults.set(settings.val);
            sendJson(response, platformStatus.ok, faults.current);
        }),
    );
    application.delete("/faults", (_request, response) => {
        faults.clear();
        sendJson(response, platformStatus.ok, faults.current);
    });
    application.post("/faults/release", (_request, response) => {
        faults.releaseHeldWrites();
        sendJson(response, platformStatus.ok, faults.current);
    });
}

/** Sends the result of an operation; an undefined value means that the row or object does not exist. */
function sendResult(response: ServerResponse, faults: PlatformFaults, result: Result<unknown, PlatformError>): void {
    if (result.ok) {
        const status = result.val === undefined ? platformStatus.notFound : platformStatus.ok;
        sendJson(response, status, result.val ?? { absent: true });
    }
    else if (result.val.kind === "conflict") {
        sendJson(response, platformStatus.conflict, { conflictingKeys: result.val.conflictingKeys });
    }
    else if (result.val.kind === "invalid") {
        sendJson(response, badRequestStatus, { error: result.val.message });
    }
    else if (faults.current.down) {
        sendJson(response, platformStatus.unavailable, { error: result.val.message });
    }
    else if (!faults.current.silent) {
        response.destroy();
    }
}

function sendJson(response: ServerResponse, status: number, content: unknown): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(content));
}

function getPathParameter(
    request: { readonly params: Readonly<Record<string, string | string[]>> },
    name: string,
): string {
    return decodeURIComponent(String(request.params[name]));
}

function parseJson(body: Buffer | undefined): unknown {
    try {
        return JSON.parse(String(body));
    }
    catch {
        return undefined;
    }
}

async function readBody(request: IncomingMessage, maximumBytes: number): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes <= maximumBytes) {
            chunks.push(chunk);
        }
    }
    return bytes <= maximumBytes ? Buffer.concat(chunks) : undefined;
}

async function listen(application: polka.Polka, server: Server, port: number, address: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        application.listen(port, address, () => resolve());
    });
}

async function close(server: Server): Promise<void> {
    await new Promise<void>(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });
}
