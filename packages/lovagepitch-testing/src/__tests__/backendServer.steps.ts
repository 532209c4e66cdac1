import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";
import { BackendServer, type RecordedStart } from "../standIns/backendServer.js";

interface ReceivedRequest {
    readonly method: string | undefined;
    readonly slots: number;
}

let agentServer: Server | undefined;
let standIn: BackendServer | undefined;
let receivedRequests: ReceivedRequest[] = [];
let status = 0;
let body: unknown;

Given("a backend server stand-in beside an agent's local port", async () => {
    receivedRequests = [];
    const server = createServer((incoming, response) => {
        let text = "";
        incoming.on("data", chunk => {
            text += String(chunk);
        });
        incoming.on("end", () => {
            const offer = JSON.parse(text || "{}") as { readonly slots?: number };
            receivedRequests.push({ method: incoming.method, slots: offer.slots ?? 0 });
            response.end("{}");
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    agentServer = server;
    standIn = new BackendServer({
        port: 0,
        agentUrl: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
        worker: "worker-1",
        availabilityZone: "kolonnawa",
        slots: 8,
        connections: 64,
        services: ["alerts"],
    });
    await standIn.start();
});

Then("the agent's local port has received {string} with {int} slots", (method: string, slots: number) => {
    assert.ok(
        receivedRequests.some(call => call.method === method && call.slots === slots),
        JSON.stringify(receivedRequests),
    );
});

When(
    "task {int} of {string} with echo {string} is posted to the backend server stand-in",
    async (index: number, submission: string, echo: string) => {
        const payload = { milliseconds: 1, echo };
        const task = { submission, index, team: "growers", service: "alerts", kind: "alert", payload };
        const response = await request(`${standIn?.url}/v1/tasks`, { method: "POST", body: JSON.stringify(task) });
        status = response.statusCode;
        body = await response.body.json();
    },
);

Then(
    "the backend server stand-in answers with output of task {int} of {string} and echo {string}",
    (index: number, submission: string, echo: string) => {
        assert.equal(status, 200);
        assert.deepEqual(body, { output: { submission, index, echo } });
    },
);

Then("it lists 1 start, of task {int} of {string}", async (index: number, submission: string) => {
    const response = await request(`${standIn?.url}/starts`);
    const starts = await response.body.json() as RecordedStart[];
    assert.equal(starts.length, 1);
    assert.equal(starts[0]?.start.index, index);
    assert.equal(starts[0]?.start.submission, submission);
    assert.equal(starts[0]?.end?.state, "succeeded");
});

When("the backend server stand-in is set to fail every task", async () => {
    const control = JSON.stringify({ failsEverything: true });
    const response = await request(`${standIn?.url}/control`, { method: "PUT", body: control });
    await response.body.dump();
});

Then("the backend server stand-in answers with status {int}", (expected: number) => {
    assert.equal(status, expected);
});

When("the backend server stand-in drains", async () => {
    await standIn?.leave();
});

After(async () => {
    await standIn?.stop();
    agentServer?.closeAllConnections();
    agentServer?.close();
    standIn = undefined;
    agentServer = undefined;
});
