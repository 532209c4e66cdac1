import { After, Given, Then, When } from "@cucumber/cucumber";
import { loadEntrySettings } from "@lovagepitch/configuration/loadEntrySettings";
import { SystemDelay } from "@lovagepitch/platform/delay";
import { HandoverRepository } from "@lovagepitch/platform/handoverRepository";
import { ManifestRepository } from "@lovagepitch/platform/manifestRepository";
import { RegistryRepository } from "@lovagepitch/platform/registryRepository";
import { RetryPolicy } from "@lovagepitch/platform/retryPolicy";
import type { JobAnswer } from "@lovagepitch/types/job";
import { SystemClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { EntryProcess } from "../process/entryProcess.js";
import { MemoryPlatform } from "./httpMemoryPlatform.js";
import { ScriptedAgent } from "./httpScriptedAgent.js";
import { MemoryEventLog } from "./httpServerFixture.js";

const longTimeout = { timeout: 60_000 };
const pollMilliseconds = 5;
const manifest = {
    availabilityZones: ["ikeja"],
    teams: [{ name: "t", quota: { guaranteedSlots: 1, maximumWaitingTasks: 100 } }],
    services: [{
        name: "s",
        kinds: [{
            name: "k",
            availabilityZones: ["ikeja"],
            maximumCores: 4,
            maximumMemoryMegabytes: 1_024,
            maximumDeadlineMilliseconds: 60_000,
            taskTimeoutMilliseconds: 60_000,
        }],
    }],
};

interface CallerResponse {
    readonly status: number;
    readonly headers: Headers;
    readonly document: Readonly<Record<string, unknown>>;
}

let platform: MemoryPlatform;
let registry: RegistryRepository;
let entries: EntryProcess[] = [];
let addresses: string[] = [];
let agent: ScriptedAgent | undefined;
let submission = "";
let job: unknown;
let answer: CallerResponse;
let responses: readonly CallerResponse[] = [];
let waitingCall: Promise<CallerResponse> | undefined;
let entryStopped: Promise<void> | undefined;

function createRetries(): RetryPolicy {
    return new RetryPolicy(new RandomSource(1), new SystemDelay());
}

function createEntry(callerPort: number, port = 0): EntryProcess {
    const settings = loadEntrySettings(
        JSON.stringify({
            address: "127.0.0.1",
            port,
            callerPort,
            availabilityZone: "ikeja",
            submissionKey: "a key of at least thirty-two characters",
            platform: { url: "http://127.0.0.1:1" },
            manifestPollMilliseconds: 20,
        }),
        "entry.jsonc",
    ).unwrap();
    return new EntryProcess(settings, { eventLog: new MemoryEventLog(), platform: platform.services });
}

function createEntries(count: number): void {
    platform = new MemoryPlatform();
    registry = new RegistryRepository(platform.table, createRetries(), new SystemClock());
    entries = [];
    addresses = [];
    waitingCall = undefined;
    entryStopped = undefined;
    for (let index = 0; index < count; index += 1) {
        entries.push(createEntry(0));
        addresses.push("");
    }
}

async function startEntries(): Promise<void> {
    addresses = await Promise.all(entries.map(async entry => {
        const { callerPort } = await entry.start();
        return `http://127.0.0.1:${callerPort}`;
    }));
}

async function applyManifest(): Promise<void> {
    const manifests = new ManifestRepository(platform.table, createRetries());
    (await manifests.apply({ baseVersion: 0, manifest, digest: "d", appliedBy: "a test" })).unwrap();
}

async function call(
    entry: number,
    method: string,
    path: string,
    body?: unknown,
    headers: Readonly<Record<string, string>> = {},
): Promise<CallerResponse> {
    const response = await fetch(addresses[entry - 1] + path, {
        method,
        body: body === undefined ? undefined : JSON.stringify(body),
        headers: body === undefined ? headers : { "content-type": "application/json", ...headers },
    });
    return {
        status: response.status,
        headers: response.headers,
        document: await response.json() as CallerResponse["document"],
    };
}

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
    while (!await condition()) {
        await sleep(pollMilliseconds);
    }
}

function createJob(tasks: number): unknown {
    return {
        team: "t",
        service: "s",
        kind: "k",
        deadlineMilliseconds: 50_000,
        tasks: Array.from({ length: tasks }, (_item, index) => ({
            payload: index,
            cores: 1,
            memoryMegabytes: 64,
            expectedMilliseconds: 50,
        })),
    };
}

async function issueSubmission(tasks: number): Promise<void> {
    const issued = await call(1, "POST", "/v1/submissions");
    [submission] = issued.document["submissions"] as [string];
    job = createJob(tasks);
}

/** Removes the id for the next submission from an answer, because it differs in each response. */
function withoutNextSubmission(response: CallerResponse): unknown {
    return { ...response.document, nextSubmission: undefined };
}

function assertComplete(response: CallerResponse, tasks: number): void {
    const document = response.document as unknown as JobAnswer;
    assert.equal(document.state, "complete", JSON.stringify(document));
    assert.deepEqual(document.tasks.map(task => task.output), createOutputs(tasks));
}

function createOutputs(tasks: number): readonly unknown[] {
    return Array.from({ length: tasks }, (_item, index) => ({ doubled: index * 2 }));
}

After({ tags: "@entryProcess", timeout: 60_000 }, async () => {
    agent?.release();
    await waitingCall;
    await Promise.all(entries.map(entry => entry.stop()));
    await entryStopped;
    await agent?.close();
    agent = undefined;
});

Given("an entry process whose platform is down", async () => {
    createEntries(1);
    platform.isDown = true;
    await startEntries();
});

Given("two entry processes and no manifest", async () => {
    createEntries(2);
    await startEntries();
});

Given("two entry processes with a manifest and a scripted agent", longTimeout, async () => {
    createEntries(2);
    await applyManifest();
    agent = new ScriptedAgent();
    await agent.start(registry);
    await startEntries();
    for (const entry of [1, 2]) {
        await waitUntil(async () => (await call(entry, "GET", "/status")).document["agents"] === 1);
        await waitUntil(async () => (await call(entry, "GET", "/readyz")).status === 200);
    }
});

Given("the scripted agent holds its tasks", () => {
    assert.ok(agent);
    agent.isHolding = true;
});

Given("the platform goes down", () => {
    platform.isDown = true;
});

When("a manifest is applied", applyManifest);

When("a caller submits a job of {int} tasks at entry {int}", longTimeout, async (tasks: number, entry: number) => {
    await issueSubmission(tasks);
    answer = await call(entry, "PUT", `/v1/submissions/${submission}`, job);
});

When(
    "a caller submits a job of {int} tasks at entry {int} and waits",
    longTimeout,
    async (tasks: number, entry: number) => {
        await issueSubmission(tasks);
        waitingCall = call(entry, "PUT", `/v1/submissions/${submission}`, job);
        await waitUntil(() => Promise.resolve(agent?.starts.size === tasks));
    },
);

When("the caller resubmits the job at entry {int}", longTimeout, async (entry: number) => {
    // Retries while the outcome is unknown, as the client package does.
    await waitUntil(async () => {
        responses = [await call(entry, "PUT", `/v1/submissions/${submission}`, job)];
        return responses[0]?.status === 200;
    });
});

When(
    "a caller sends a job of {int} tasks under one key to both entries at the same time",
    longTimeout,
    async (tasks: number) => {
        const headers = { "idempotency-key": "one key" };
        const body = createJob(tasks);
        responses = await Promise.all([1, 2].map(entry => call(entry, "POST", "/v1/jobs", body, headers)));
        [answer] = responses as [CallerResponse];
    },
);

When("a caller sends a job under a key to entry {int}", longTimeout, async (entry: number) => {
    answer = await call(entry, "POST", "/v1/jobs", createJob(1), { "idempotency-key": "a key" });
});

When("entry {int} starts to shut down", (entry: number) => {
    entryStopped = entries[entry - 1]?.stop();
});

When("the scripted agent releases its tasks", () => agent?.release());

When("the entry process stops", longTimeout, async () => {
    await entries[0]?.stop();
});

Then("its {string} answers {int}", async (path: string, status: number) => {
    assert.equal((await call(1, "GET", path)).status, status);
});

Then("its {string} reports that the store is not healthy", longTimeout, async (path: string) => {
    await waitUntil(async () => (await call(1, "GET", path)).document["storeHealthy"] === false);
});

Then("its {string} issues an id", async (path: string) => {
    const issued = await call(1, "POST", path);
    assert.equal(issued.status, 201);
    assert.equal((issued.document["submissions"] as readonly string[]).length, 1);
});

Then("another entry process on its caller port fails with a remedy and closes its links", async () => {
    const probe = createServer();
    await new Promise<void>(resolve => probe.listen(0, "127.0.0.1", resolve));
    const { port } = probe.address() as AddressInfo;
    await new Promise(resolve => probe.close(resolve));
    const callerPort = Number(new URL(addresses[0] ?? "").port);
    await assert.rejects(createEntry(callerPort, port).start(), /choose a free callerPort/);
    const socket = connect(port, "127.0.0.1");
    const [error] = await once(socket, "error") as [NodeJS.ErrnoException];
    assert.equal(error.code, "ECONNREFUSED");
});

Then("its port refuses connections", async () => {
    await assert.rejects(call(1, "GET", "/healthz"));
});

Then("entry {int} is not ready", async (entry: number) => {
    assert.equal((await call(entry, "GET", "/readyz")).status, 503);
});

Then("both entries become ready", longTimeout, async () => {
    for (const entry of [1, 2]) {
        await waitUntil(async () => (await call(entry, "GET", "/readyz")).status === 200);
    }
});

Then("its answer is complete with {int} outputs", longTimeout, async (tasks: number) => {
    answer = waitingCall === undefined ? answer : await waitingCall;
    assertComplete(answer, tasks);
    // A stopping entry issues no submission id; then both are absent.
    const header = answer.headers.get("lovagepitch-next-submission") ?? undefined;
    assert.equal(header, answer.document["nextSubmission"]);
});

Then("the resubmission returns the same answer", () => {
    assert.deepEqual(responses.map(withoutNextSubmission), [withoutNextSubmission(answer)]);
});

Then("both callers receive the same complete answer", () => {
    const [first, second] = responses.map(withoutNextSubmission);
    assertComplete(answer, 3);
    assert.deepEqual(first, second);
});

Then("the scripted agent started {int} tasks, each exactly once", (tasks: number) => {
    assert.deepEqual([...agent?.starts.values() ?? []], Array.from({ length: tasks }, () => 1));
});

Then(
    "the caller receives a problem {string} with execution {string} and a Retry-After header",
    (kind: string, execution: string) => {
        assert.equal(answer.document["type"], `https://lovagepitch.example/problems/${kind}`);
        assert.equal(answer.document["execution"], execution);
        assert.ok(Number(answer.headers.get("retry-after")) >= 1);
    },
);

Then("entry {int} refuses new jobs", async (entry: number) => {
    const refused = await call(entry, "POST", "/v1/jobs", createJob(1), { "idempotency-key": "late" });
    assert.equal(refused.document["type"], "https://lovagepitch.example/problems/stopping");
    assert.equal(refused.headers.get("connection"), "close");
});

Then("entry {int} stops and its row is marked as left", longTimeout, async (entry: number) => {
    await entryStopped;
    const rows = (await registry.read()).unwrap().entries;
    const left = rows.filter(row => row.state === "left");
    assert.equal(left.length, 1);
    const handovers = new HandoverRepository(platform.objects, createRetries());
    const handover = (await handovers.readAnswers(String(left[0]?.incarnation))).unwrap();
    assert.deepEqual(handover?.answers.map(record => record.submission), [submission]);
    await assert.rejects(call(entry, "GET", "/healthz"));
});
