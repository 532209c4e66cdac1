import { After, Given, Then, When } from "@cucumber/cucumber";
import type { JobAnswer } from "@lovagepitch/types/job";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { EntryInput } from "../core/entryInput.js";
import type { MissingCondition } from "../http/operatorRoutes.js";
import {
    createBadRequest,
    createBytes,
    createRandomRequests,
    jobText,
    jsonHeaders,
    keyHeaders,
    path,
} from "./httpRequests.js";
import { createJob, HttpScene, type ReadResponse } from "./httpScene.js";

const patient = { timeout: 60_000 };
const pollMilliseconds = 2;

let scene: HttpScene;
let response: ReadResponse;
let rawResponse = "";
let waiting: Promise<ReadResponse> | undefined;
let closing: Promise<void> | undefined;
let statuses: number[] = [];

function createAnswer(state: "complete" | "failed"): JobAnswer {
    const task = { index: 0, worker: "w-1", availabilityZone: "ikeja" };
    return {
        submission: "id-1",
        state,
        configurationVersion: 12,
        tasks: [
            state === "complete" ? { ...task, state: "succeeded", output: { sum: 1 } } : { ...task, state: "failed" },
        ],
        nextSubmission: "next-1",
        ...(state === "failed" ? { reason: "a task failed" } : {}),
    };
}

async function createScene(maximumRequests?: number): Promise<void> {
    scene = new HttpScene(maximumRequests);
    rawResponse = "";
    statuses = [];
    waiting = undefined;
    closing = undefined;
    await scene.listen();
}

async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await sleep(pollMilliseconds);
    }
}

After({ tags: "@http" }, async () => {
    await scene.close();
    await closing;
});

Given("an HTTP server whose core issues ids", async () => {
    await createScene();
    scene.script = { kind: "issued", submissions: ["id-1", "id-2"] };
});

Given("an HTTP server whose core answers {string}", async (state: "complete" | "failed") => {
    await createScene();
    scene.script = { kind: "answer", answer: createAnswer(state) };
});

Given("an HTTP server whose core tells progress", async () => {
    await createScene();
    const progress = { submission: "id-1", state: "running" as const, finishedTasks: 1, tasks: 2 };
    scene.script = { kind: "progress", progress };
});

Given(
    "an HTTP server whose core refuses with status {int} and {int} ms to wait",
    async (status: number, wait: number) => {
        await createScene();
        scene.script = {
            kind: "problem",
            problem: {
                kind: "platform-unavailable",
                status,
                detail: "the table does not answer",
                remedy: "come back",
                execution: "unknown-yet",
                retryAfterMilliseconds: wait,
                nextSubmission: "next-2",
            },
        };
    },
);

Given("an HTTP server whose core knows no submission", async () => {
    await createScene();
    const problem = {
        kind: "invalid-submission",
        status: 404,
        detail: "not issued here",
        remedy: "get an id",
        execution: "not-run",
    } as const;
    scene.script = { kind: "problem", problem };
});

Given("an HTTP server whose core says nothing", () => createScene());

Given("an HTTP server that lets {int} request wait and whose core says nothing", (count: number) => createScene(count));

Given("an HTTP server whose core has a defect", async () => {
    await createScene();
    scene.hasDefect = true;
});

Given("the entry misses {string} and {string}", (first: MissingCondition, second: MissingCondition) => {
    scene.missing = [first, second];
});

When(/^a caller sends (GET|POST|PUT|DELETE) "([^"]*)"$/, async (method: string, target: string) => {
    response = await scene.call(method, target);
});

When(/^a caller sends a job with (PUT|POST) "([^"]*)"$/, async (method: string, target: string) => {
    response = await scene.call(method, target, jobText, keyHeaders);
});

When("a caller sends the bad request {string}", async (name: string) => {
    response = await scene.call(...createBadRequest(name));
});

When("a caller sends the bytes {string}", async (name: string) => {
    rawResponse = await scene.sendBytes(createBytes(name));
});

When("a caller sends a job in three pieces", async () => {
    const head = `PUT ${path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: ${jobText.length}\r\n`
        + "Content-Type: application/json; charset=utf-8\r\n\r\n";
    const socket = connect(scene.port, "127.0.0.1");
    socket.on("data", data => {
        rawResponse += data.toString();
    });
    const closed = new Promise(resolve => socket.once("close", resolve));
    for (const piece of [head, jobText.slice(0, 10), jobText.slice(10)]) {
        await new Promise(resolve => socket.write(piece, resolve));
        await sleep(pollMilliseconds);
    }
    await closed;
});

When("a caller sends a job and goes away", async () => {
    const abort = new AbortController();
    const url = `http://127.0.0.1:${scene.port}${path}`;
    const call = fetch(url, { method: "PUT", body: jobText, headers: jsonHeaders, signal: abort.signal });
    await until(() => scene.inputs.length === 1);
    abort.abort();
    await assert.rejects(call);
});

When("a caller goes away within the body of a job", async () => {
    const head = `PUT ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\nContent-Type: application/json\r\n\r\n{"te`;
    const socket = connect(scene.port, "127.0.0.1");
    await new Promise(resolve => socket.write(head, resolve));
    socket.destroy();
    await new Promise(resolve => socket.once("close", resolve));
});

When("a caller sends a job and waits", async () => {
    waiting = scene.call("PUT", path, jobText, jsonHeaders);
    // A scenario that ends without the answer cuts the connection.
    waiting.catch(() => undefined);
    await until(() => scene.inputs.length === 1);
});

When("the HTTP server begins to close", () => {
    closing = scene.server.close();
});

When("the core answers the waiting caller", () => {
    const [input] = scene.inputs;
    assert.ok(input?.type === "submit");
    scene.resolve(input.request, { kind: "answer", answer: createAnswer("complete") });
});

When("callers send {int} random requests with seed {int}", patient, async (count: number, seed: number) => {
    const request = createRandomRequests();
    const property = fastCheck.asyncProperty(request, async parts => {
        const head = [
            `${parts.method} ${parts.target} HTTP/1.1`,
            "Host: a",
            "Connection: close",
            `Content-Type: ${parts.type}`,
            `Idempotency-Key: ${parts.key}`,
            `Content-Length: ${parts.body.length}`,
        ].join("\r\n");
        const text = await scene.sendBytes(Buffer.concat([Buffer.from(`${head}\r\n\r\n`), parts.body]));
        const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1]);
        statuses.push(status);
        assert.ok(status >= 400 && status < 500, `${head}: ${text}`);
    });
    await fastCheck.assert(property, { numRuns: count, seed });
});

Then("the HTTP status is {int}", (status: number) => {
    assert.equal(response.status, status, JSON.stringify(response.document));
});

Then("the core was asked to issue {int} ids", (count: number) => {
    assert.deepEqual(scene.inputs, [{ type: "issue", request: 1, count }]);
});

Then("the HTTP body lists the submissions", () => {
    assert.deepEqual(response.document, { submissions: ["id-1", "id-2"] });
});

Then("the HTTP body is a problem {string} with execution {string}", (kind: string, execution: string) => {
    assert.equal(response.document["type"], `https://lovagepitch.example/problems/${kind}`);
    assert.equal(response.document["execution"], execution);
    assert.equal(response.document["status"], response.status);
    assert.equal(response.headers.get("content-type"), "application/problem+json");
});

Then("nothing reached the core", () => {
    assert.deepEqual(scene.inputs, []);
});

Then("the HTTP body is the core's answer", () => {
    assert.ok(scene.script?.kind === "answer");
    assert.deepEqual(response.document, scene.script.answer);
});

Then("the HTTP header {string} is {string}", (name: string, value: string) => {
    assert.equal(response.headers.get(name), value);
});

Then("the core received {string} with the job", (type: string) => {
    const [input] = scene.inputs;
    assert.equal(input?.type, type);
    assert.ok(input.type === "submit" || input.type === "submitWithKey");
    assert.deepEqual(input.job, { ...createJob(), idempotent: false });
    if (input.type === "submit") {
        assert.equal(input.submission, "id-1");
        return;
    }
    assert.deepEqual(input.key, { team: "treasury", service: "settlement", key: "key-1" });
});

Then("the core received {string} for {string}", (type: EntryInput["type"], submission: string) => {
    assert.deepEqual(scene.inputs, [{ type, request: 1, submission }]);
});

Then("the HTTP body has {string} {string}", (field: string, value: string) => {
    assert.equal(response.document[field], value);
});

Then("the problem's type, title, detail, remedy and nextSubmission are there", () => {
    const { title, detail, remedy, nextSubmission } = response.document;
    assert.equal(title, "The platform's service is unavailable");
    assert.equal(detail, "the table does not answer");
    assert.equal(remedy, "come back");
    assert.equal(nextSubmission, "next-2");
});

Then("the HTTP server is healthy", async () => {
    const health = await scene.call("GET", "/healthz");
    assert.equal(health.status, 200);
});

Then("the raw HTTP response has status {int}", (status: number) => {
    assert.match(rawResponse, new RegExp(`^HTTP/1\\.1 ${status} `));
});

Then("the core is told that the caller's request closed", async () => {
    await until(() => scene.inputs.length === 2);
    assert.deepEqual(scene.inputs[1], { type: "requestClosed", request: 1 });
});

Then("a late answer harms nothing", async () => {
    scene.resolve(1, { kind: "answer", answer: createAnswer("complete") });
    const health = await scene.call("GET", "/healthz");
    assert.equal(health.status, 200);
});

Then("the defect is logged", () => {
    assert.deepEqual(scene.eventLog.messages, ["error: a request failed because of a defect; report this line"]);
});

Then("the waiting caller reads status {int}", async (status: number) => {
    assert.equal((await waiting)?.status, status);
});

Then("the HTTP server has closed", async () => {
    await closing;
    await assert.rejects(scene.call("GET", "/healthz"));
});

Then("every HTTP status is from {int} to {int}", (lowest: number, highest: number) => {
    assert.ok(statuses.length > 0);
    assert.ok(statuses.every(status => status >= lowest && status <= highest));
});

Then("the readiness misses {string}", (missing: string) => {
    assert.deepEqual(response.document["missing"], missing === "" ? [] : missing.split(","));
});

Then(
    "the HTTP body is the status of incarnation {string} with version {int}",
    (incarnation: string, version: number) => {
        assert.deepEqual(response.document, {
            incarnation,
            configurationVersion: version,
            ready: true,
            storeHealthy: false,
            agents: 4,
            waitingTasks: 5,
            runningTasks: 6,
        });
    },
);

Then(/^the metrics say "(.*)" is (\d+)$/, (metric: string, value: string) => {
    const lines = String(response.document["text"]).split("\n");
    assert.ok(lines.includes(`${metric} ${value}`), lines.filter(line => line.startsWith("lovagepitch")).join("\n"));
});
