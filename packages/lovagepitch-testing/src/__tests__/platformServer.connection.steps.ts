import { After, Given, Then, When } from "@cucumber/cucumber";
import { Delay } from "@lovagepitch/platform/delay";
import { HttpTable } from "@lovagepitch/platform/httpTable";
import { PlatformConnection } from "@lovagepitch/platform/platformConnection";
import type { PlatformError } from "@lovagepitch/platform/platformError";
import { ManualClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import type { Result } from "@lovagepitch/utils/result";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect as connectSocket, type Socket } from "node:net";
import { setImmediate as setImmediatePromise } from "node:timers/promises";
import { request as sendRequest } from "undici";
import { type PlatformServer, startPlatformServer } from "../standIns/platformServer.js";
import { startMilliseconds } from "./platformServer.fixture.js";

const timeoutMilliseconds = 1000;
const highRatePerSecond = 100_000;
const absentRowBody = JSON.stringify({ absent: true });

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

/** Records waits instead of waiting; the clock advances only when a test advances it. */
class RecordingDelay extends Delay {
    public waits: readonly number[] = [];
    public afterWait: () => void = () => undefined;

    public override wait(milliseconds: number): Promise<void> {
        this.waits = [...this.waits, milliseconds];
        this.afterWait();
        return Promise.resolve();
    }
}

let server: Server | undefined;
let standIn: PlatformServer | undefined;
let connection: PlatformConnection | undefined;
let delay: RecordingDelay;
let clock: ManualClock;
let requestCount = 0;
let result: Result<unknown, PlatformError>;
let results: readonly Result<unknown, PlatformError>[] = [];

const failures: Readonly<Record<string, Handler>> = {
    "answers 500": (_, response) => respond(response, 500, "{}"),
    "answers 503": (_, response) => respond(response, 503, "{}"),
    "answers 429": (_, response) => respond(response, 429, "{}"),
    "closes the connection": (_, response) => response.destroy(),
    "truncates the response": (_, response) => {
        response.writeHead(200, { "content-length": "100" });
        response.write("{", () => response.destroy());
    },
};

function respond(response: ServerResponse, status: number, body: string): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(body);
}

async function startScriptedServer(
    handle: Handler,
    rate = highRatePerSecond,
    deadline = timeoutMilliseconds,
): Promise<void> {
    requestCount = 0;
    server = createServer((request, response) => {
        requestCount += 1;
        request.resume();
        request.once("end", () => handle(request, response));
    });
    await new Promise<void>(resolve => server?.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    delay = new RecordingDelay();
    clock = new ManualClock(startMilliseconds);
    const settings = {
        url: `http://127.0.0.1:${port}/`,
        requestTimeoutMilliseconds: deadline,
        writesPerSecond: rate,
        readsPerSecond: rate,
    };
    connection = new PlatformConnection(settings, clock, new RandomSource(1), delay);
}

function createTable(): HttpTable {
    assert.ok(connection !== undefined);
    return new HttpTable(connection);
}

async function writeRow(key = "row"): Promise<Result<unknown, PlatformError>> {
    return createTable().write([{ key, condition: { kind: "absent" }, value: 1 }]);
}

Given(/^a scripted platform that (.*) for every request$/, async (failure: string) => {
    await startScriptedServer(failures[failure] as Handler);
});

Given(/^a scripted platform that (.*) for (\d+) requests$/, async (failure: string, count: string) => {
    await startScriptedServer((request, response) => {
        if (requestCount <= Number(count)) {
            failures[failure]?.(request, response);
            return;
        }
        respond(response, 404, absentRowBody);
    });
});

Given(/^a scripted platform that answers (\d+) with '(.*)'$/, async (status: string, body: string) => {
    await startScriptedServer((_, response) => respond(response, Number(status), body));
});

Given("a scripted platform that never responds on the first connection", async () => {
    let silentSocket: Socket | undefined;
    await startScriptedServer((request, response) => {
        silentSocket ??= request.socket;
        if (request.socket !== silentSocket) {
            respond(response, 404, absentRowBody);
        }
    });
});

Given("a platform that has stopped", async () => {
    await startScriptedServer((_, response) => respond(response, 200, "{}"));
    await new Promise(resolve => server?.close(resolve));
});

Given(
    "a connection with {int} reads and {int} writes a second and a deadline of {int} ms",
    async (rate: number, _writes: number, deadline: number) => {
        const body = JSON.stringify({ etags: ["1"] });
        await startScriptedServer(
            (request, response) => {
                const isRead = request.method === "GET";
                respond(response, isRead ? 404 : 200, isRead ? absentRowBody : body);
            },
            rate,
            deadline,
        );
    },
);

Given("backoff that lasts longer than the connection's deadline", () => {
    delay.afterWait = () => clock.advanceTo(clock.nowMilliseconds() + timeoutMilliseconds + 1);
});

Given(
    "a scripted platform that answers 503, and a connection with {int} read a second and a deadline of {int} ms",
    async (rate: number, deadline: number) => {
        await startScriptedServer((_, response) => respond(response, 503, "{}"), rate, deadline);
    },
);

When(/^a row is (read|listed|written) through the connection$/, async (request: string) => {
    const table = createTable();
    const send = {
        read: () => table.read("row"),
        listed: () => table.list("row"),
        written: () => writeRow(),
    }[request];
    result = await (send as () => Promise<Result<unknown, PlatformError>>)();
});

When("a row is read {int} times through the connection", async (count: number) => {
    for (let index = 0; index < count; index += 1) {
        await createTable().read("row");
    }
});

When(/^a (read|write) that accepts (\d+) bytes is sent$/, async (kind: string, bytes: string) => {
    assert.ok(connection !== undefined);
    const maximumAnswerBytes = Number(bytes);
    result = kind === "read"
        ? await connection.read({ method: "GET", path: "/rows/row", maximumResponseBytes: maximumAnswerBytes })
        : await connection.write({
            method: "POST",
            path: "/transactions",
            body: "{}",
            maximumResponseBytes: maximumAnswerBytes,
        });
});

When(/^(\d+) (reads|writes) are made at one instant through it$/, async (count: string, kind: string) => {
    const send = kind === "reads" ? () => createTable().read("row") : () => writeRow();
    results = await Promise.all(Array.from({ length: Number(count) }, send));
});

When("a transaction of {int} rows is written through the connection", async (count: number) => {
    const rows = Array.from({ length: count }, (_, index) => ({
        key: `row-${index}`,
        condition: { kind: "absent" } as const,
        value: 1,
    }));
    result = await createTable().write(rows);
});

Then(/^the connection's result is "([\w-]+)"(?: after (\d+) requests?)?$/, (kind: string, count?: string) => {
    assert.equal(result.ok ? "ok" : result.val.kind, kind, result.err ? result.val.message : "");
    if (count !== undefined) {
        assert.equal(requestCount, Number(count));
    }
});

Then("the scripted platform has received at most {int} requests", (most: number) => {
    assert.ok(requestCount <= most, `${requestCount} requests`);
});

Then("4 of them are made after waits of 0, 0, 500 and 1000 ms", () => {
    assert.equal(results.filter(made => made.ok).length, 4);
    assert.deepEqual(delay.waits, [500, 1000]);
});

Then("2 of them are throttled without being sent", () => {
    assert.equal(results.filter(made => made.err && made.val.kind === "throttled").length, 2);
    assert.equal(requestCount, 4);
});

Given("a running stand-in of the platform", async () => {
    standIn = await startPlatformServer();
});

async function sendToStandIn(method: "DELETE" | "GET" | "POST" | "PUT", path: string, body?: string): Promise<number> {
    const response = await sendRequest(`${standIn?.url}${path}`, { method, body });
    await response.body.dump();
    return response.statusCode;
}

When(/^the fault request '(.*)' is sent$/, async (body: string) => {
    assert.equal(await sendToStandIn("PUT", "/faults", body), 200);
});

When("the faults are cleared by a request", async () => {
    assert.equal(await sendToStandIn("DELETE", "/faults"), 200);
});

When("an upload to the stand-in is aborted", async () => {
    const { hostname, port } = new URL(String(standIn?.url));
    const socket = connectSocket(Number(port), hostname);
    await once(socket, "connect");
    socket.write("PUT /objects/object HTTP/1.1\r\nhost: stand-in\r\ncontent-length: 100\r\n\r\nbegin");
    await setImmediatePromise();
    socket.destroy();
    await once(socket, "close");
});

When("the stand-in receives a read of the path {string}", async (path: string) => {
    assert.equal(await sendToStandIn("GET", path), 400);
});

Then("the stand-in answers a read with status {int}", async (status: number) => {
    assert.equal(await sendToStandIn("GET", "/rows/row"), status);
});

Then(/^the stand-in answers the fault request '(.*)' with status (\d+)$/, async (body: string, status: string) => {
    assert.equal(await sendToStandIn("PUT", "/faults", body), Number(status));
});

Then(/^the stand-in answers the transaction '(.*)' with status (\d+)$/, async (body: string, status: string) => {
    assert.equal(await sendToStandIn("POST", "/transactions", body), Number(status));
});

After(async () => {
    await connection?.close();
    server?.closeAllConnections();
    server?.close();
    await standIn?.close();
    connection = undefined;
    server = undefined;
    standIn = undefined;
});
