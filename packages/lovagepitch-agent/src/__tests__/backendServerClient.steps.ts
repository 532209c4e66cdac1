import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { TaskOutcome } from "../core/agentInput.js";
import type { TaskDispatch } from "../core/agentOutput.js";
import { BackendServerClient } from "../http/backendServerClient.js";

let server: Server | undefined;
let client: BackendServerClient | undefined;
let url = "";
let idempotencyKeys: (string | undefined)[] = [];
let outcome: TaskOutcome | undefined;
let outcomes: readonly TaskOutcome[] = [];
let maximumConnections = 0;

async function startBackendServer(answer: RequestListener, connections = 64): Promise<void> {
    idempotencyKeys = [];
    maximumConnections = 0;
    let open = 0;
    const backend = createServer((request, response) => {
        idempotencyKeys.push(request.headers["idempotency-key"] as string | undefined);
        request.resume();
        request.on("end", () => answer(request, response));
    });
    backend.on("connection", socket => {
        open += 1;
        maximumConnections = Math.max(maximumConnections, open);
        socket.on("close", () => {
            open -= 1;
        });
    });
    backend.listen(0, "127.0.0.1");
    await once(backend, "listening");
    server = backend;
    url = `http://127.0.0.1:${(backend.address() as AddressInfo).port}`;
    client = new BackendServerClient();
    client.configure({ url, connections });
}

function createBody(text: string): string {
    switch (text) {
        case "invalid JSON":
            return "{";
        case "a nested output":
            return `{"output":${"[".repeat(100)}${"]".repeat(100)}}`;
        case "5000000 bytes":
            return `{"output":"${"x".repeat(5_000_000)}"}`;
        default:
            return text;
    }
}

function createTask(index: number, timeoutMilliseconds: number): TaskDispatch {
    const place = { url, team: "gardeners", service: "alerts", kind: "thirst" };
    return { ...place, submission: "A1", index, payload: { plant: "curry leaf" }, timeoutMilliseconds };
}

Given(/^a backend server that answers (\d+) with (.+)$/, async (status: string, body: string) => {
    await startBackendServer((_request, response) => {
        response.writeHead(Number(status), { "content-type": "application/json" });
        response.end(createBody(body));
    });
});

Given("a backend server that closes the connection", async () => {
    await startBackendServer(request => request.socket.destroy());
});

Given("a backend server that never answers", async () => {
    await startBackendServer(() => undefined);
});

Given("a backend server that is not listening", async () => {
    await startBackendServer(() => undefined);
    server?.close();
    await once(server as Server, "close");
});

Given(
    "a backend server that answers once {int} requests have arrived and accepts {int} connections",
    async (count: number, connections: number) => {
        const waiting: ServerResponse[] = [];
        await startBackendServer((_request: IncomingMessage, response) => {
            waiting.push(response);
            if (waiting.length === count) {
                for (const each of waiting.splice(0)) {
                    each.end("{\"output\":1}");
                }
            }
        }, connections);
    },
);

When("the agent dispatches a task with a timeout of {int} ms", async (timeoutMilliseconds: number) => {
    outcome = await client?.run(createTask(0, timeoutMilliseconds));
});

When("the agent dispatches {int} tasks concurrently", async (count: number) => {
    const present = client;
    assert.ok(present);
    outcomes = await Promise.all(Array.from({ length: count }, (_, index) => present.run(createTask(index, 5_000))));
});

Then("the task outcome is {string}", (expected: string) => {
    assert.equal(outcome?.kind, expected);
});

Then("the task outcome is {string} with reason {string}", (expected: string, reason: string) => {
    assert.deepEqual(outcome, { kind: expected, reason });
});

Then("the backend server received {int} request(s) with the idempotency key {string}", (count: number, key: string) => {
    assert.deepEqual(idempotencyKeys, Array.from({ length: count }, () => key));
});

Then(
    "all tasks succeed and the backend server had at most {int} concurrent connections",
    (connections: number) => {
        assert.ok(outcomes.length > 0 && outcomes.every(each => each.kind === "succeeded"));
        assert.ok(maximumConnections <= connections, `${maximumConnections} connections`);
    },
);

After(async () => {
    server?.closeAllConnections();
    server?.close();
    server = undefined;
    await client?.close();
    client = undefined;
});
