import { After, Given, Then, When } from "@cucumber/cucumber";
import { createLinkCounters } from "@lovagepitch/links/linkCounters";
import type { BackendServerAnnouncement } from "@lovagepitch/types/registry";
import fc from "fast-check";
import assert from "node:assert/strict";
import { request } from "undici";
import { LocalServer, LocalService } from "../http/localServer.js";
import { AgentCounters } from "../process/agentCounters.js";
import { AgentMetrics } from "../process/agentMetrics.js";
import { AgentHarness } from "./agentHarness.js";

/** Records the calls of the local server. */
class RecordingService extends LocalService {
    public readonly calls: (BackendServerAnnouncement | "leaving")[] = [];

    public override handleAnnouncement(announcement: BackendServerAnnouncement): void {
        this.calls.push(announcement);
    }

    public override handleLeaving(): void {
        this.calls.push("leaving");
    }

    public override findMissingConditions(): readonly string[] {
        return ["configuration"];
    }

    public override createStatusDocument(): Readonly<Record<string, unknown>> {
        return {};
    }

    public override readMetrics(): Promise<{ readonly text: string; readonly contentType: string }> {
        return Promise.resolve({ text: "", contentType: "text/plain" });
    }
}

let service = new RecordingService();
let server: LocalServer | undefined;
let baseUrl = "";
let status = 0;

async function sendRequest(method: "GET" | "PUT" | "DELETE", path: string, body?: string): Promise<number> {
    const response = await request(baseUrl + path, { method, body });
    await response.body.dump();
    return response.statusCode;
}

function createAnnouncementBody(slots: number): string {
    return JSON.stringify({ url: "http://127.0.0.1:9", slots, connections: 64, services: ["alerts"] });
}

Given("the agent's local port", async () => {
    service = new RecordingService();
    server = new LocalServer(service);
    const port = await server.listen(0);
    baseUrl = `http://127.0.0.1:${port.unwrap()}`;
});

When("the backend server announces {int} slots", async (slots: number) => {
    status = await sendRequest("PUT", "/v1/backend-server", createAnnouncementBody(slots));
});

When("the backend server deletes its announcement", async () => {
    status = await sendRequest("DELETE", "/v1/backend-server");
});

When("the backend server puts invalid JSON", async () => {
    status = await sendRequest("PUT", "/v1/backend-server", "{");
});

When("the backend server puts an empty body", async () => {
    status = await sendRequest("PUT", "/v1/backend-server");
});

When("the backend server puts a body of {int} bytes", async (bytes: number) => {
    status = await sendRequest("PUT", "/v1/backend-server", JSON.stringify("x".repeat(bytes)));
});

When(/^the backend server puts ([{[].*)$/, async (body: string) => {
    status = await sendRequest("PUT", "/v1/backend-server", body);
});

Then("the local port answers {int}", (expected: number) => {
    assert.equal(status, expected);
});

Then("the local port answers {int} to {string}", async (expected: number, path: string) => {
    assert.equal(await sendRequest("GET", path), expected);
});

Then("the agent has received an announcement of {int} slots", (slots: number) => {
    const last = service.calls.at(-1);
    assert.ok(last !== undefined && last !== "leaving");
    assert.equal(last.slots, slots);
});

Then("the agent has been notified that the backend server leaves", () => {
    assert.equal(service.calls.at(-1), "leaving");
});

Then("the agent has received no announcement", () => {
    assert.deepEqual(service.calls, []);
});

Then("{int} random bodies from seed {int} are answered by the local port", async (numRuns: number, seed: number) => {
    const body = fc.oneof(fc.json(), fc.string(), fc.json().map(text => `{"url":${text},"slots":${text}}`));
    const property = fc.asyncProperty(body, async text => {
        assert.equal(await sendRequest("PUT", "/v1/backend-server", text), 400);
    });
    await fc.assert(property, { numRuns, seed });
    assert.equal(await sendRequest("PUT", "/v1/backend-server", createAnnouncementBody(8)), 200);
});

Then("the agent's metrics have {string}", async (expected: string) => {
    await assertMetric(expected);
});

Then(/^the agent's metrics have "(.*\{.*\}.*)"$/, async (expected: string) => {
    await assertMetric(expected);
});

async function assertMetric(expected: string): Promise<void> {
    const agent = new AgentHarness();
    agent.startServing(1);
    agent.startTasks("A", "A1", [0, 1, 2]);
    const counters = new AgentCounters();
    for (const output of agent.outputs) {
        counters.countOutput(output);
    }
    const metrics = new AgentMetrics({
        counters,
        getStatus: () => agent.core.getStatus(),
        getLinkCounters: () => createLinkCounters(),
        isStoreHealthy: () => true,
    });
    const { text } = await metrics.read();
    assert.ok(text.split("\n").includes(expected), text);
}

After(async () => {
    await server?.close();
    server = undefined;
});
