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
    createMalformedBytes,
    createRandomRequests,
    jobText,
    jsonHeaders,
    keyHeaders,
    submissionPath,
} from "./httpRequests.js";
import { createJob, HttpServerFixture, type ReadResponse } from "./httpServerFixture.js";

const longTimeout = { timeout: 60_000 };
const pollMilliseconds = 2;

let fixture: HttpServerFixture;
let response: ReadResponse;
let rawResponse = "";
let waitingCall: Promise<ReadResponse> | undefined;
let serverClosed: Promise<void> | undefined;
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

async function createFixture(maximumRequests?: number): Promise<void> {
    fixture = new HttpServerFixture(maximumRequests);
    rawResponse = "";
    statuses = [];
    waitingCall = undefined;
    serverClosed = undefined;
    await fixture.listen();
}

async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await sleep(pollMilliseconds);
    }
}

After({ tags: "@http" }, async () => {
    await fixture.close();
    await serverClosed;
});

Given("an HTTP server whose core issues ids", async () => {
    await createFixture();
    fixture.scriptedResponse = { kind: "issued", submissions: ["id-1", "id-2"] };
});

Given("an HTTP server whose core answers {string}", async (state: "complete" | "failed") => {
    await createFixture();
    fixture.scriptedResponse = { kind: "answer", answer: createAnswer(state) };
});

Given("an HTTP server whose core reports progress", async () => {
    await createFixture();
    const progress = { submission: "id-1", state: "running" as const, finishedTasks: 1, tasks: 2 };
    fixture.scriptedResponse = { kind: "progress", progress };
});

Given(
    "an HTTP server whose core refuses with status {int} and a retry delay of {int} ms",
    async (status: number, retryAfterMilliseconds: number) => {
        await createFixture();
        fixture.scriptedResponse = {
            kind: "problem",
            problem: {
                kind: "platform-unavailable",
                status,
                detail: "the table does not answer",
                remedy: "come back",
                execution: "unknown-yet",
                retryAfterMilliseconds,
                nextSubmission: "next-2",
            },
        };
    },
);

Given("an HTTP server whose core knows no submission", async () => {
    await createFixture();
    const problem = {
        kind: "invalid-submission",
        status: 404,
        detail: "not issued here",
        remedy: "get an id",
        execution: "not-run",
    } as const;
    fixture.scriptedResponse = { kind: "problem", problem };
});

Given("an HTTP server whose core does not respond", () => createFixture());

Given(
    "an HTTP server with at most {int} waiting request whose core does not respond",
    (count: number) => createFixture(count),
);

Given("an HTTP server whose core throws an error", async () => {
    await createFixture();
    fixture.isFailing = true;
});

Given(
    "the readiness conditions {string} and {string} are not met",
    (first: MissingCondition, second: MissingCondition) => {
        fixture.missingConditions = [first, second];
    },
);

When(/^a caller sends (GET|POST|PUT|DELETE) "([^"]*)"$/, async (method: string, target: string) => {
    response = await fixture.call(method, target);
});

When(/^a caller sends a job with (PUT|POST) "([^"]*)"$/, async (method: string, target: string) => {
    response = await fixture.call(method, target, jobText, keyHeaders);
});

When("a caller sends the bad request {string}", async (name: string) => {
    response = await fixture.call(...createBadRequest(name));
});

When("a caller sends the bytes {string}", async (name: string) => {
    rawResponse = await fixture.sendBytes(createMalformedBytes(name));
});

When("a caller sends a job in three writes", async () => {
    const head =
        `PUT ${submissionPath} HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: ${jobText.length}\r\n`
        + "Content-Type: application/json; charset=utf-8\r\n\r\n";
    const socket = connect(fixture.port, "127.0.0.1");
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

When("a caller sends a job and closes its connection", async () => {
    const abort = new AbortController();
    const url = `http://127.0.0.1:${fixture.port}${submissionPath}`;
    const call = fetch(url, { method: "PUT", body: jobText, headers: jsonHeaders, signal: abort.signal });
    await waitUntil(() => fixture.inputs.length === 1);
    abort.abort();
    await assert.rejects(call);
});

When("a caller closes its connection within the body of a job", async () => {
    const head =
        `PUT ${submissionPath} HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\nContent-Type: application/json\r\n\r\n{"te`;
    const socket = connect(fixture.port, "127.0.0.1");
    await new Promise(resolve => socket.write(head, resolve));
    socket.destroy();
    await new Promise(resolve => socket.once("close", resolve));
});

When("a caller sends a job and waits", async () => {
    waitingCall = fixture.call("PUT", submissionPath, jobText, jsonHeaders);
    // The connection is closed when a scenario ends without the answer.
    waitingCall.catch(() => undefined);
    await waitUntil(() => fixture.inputs.length === 1);
});

When("the HTTP server starts to close", () => {
    serverClosed = fixture.server.close();
});

When("the core answers the waiting caller", () => {
    const [input] = fixture.inputs;
    assert.ok(input?.type === "submit");
    fixture.resolve(input.request, { kind: "answer", answer: createAnswer("complete") });
});

When("callers send {int} random requests with seed {int}", longTimeout, async (count: number, seed: number) => {
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
        const text = await fixture.sendBytes(Buffer.concat([Buffer.from(`${head}\r\n\r\n`), parts.body]));
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
    assert.deepEqual(fixture.inputs, [{ type: "issue", request: 1, count }]);
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

Then("no input reached the core", () => {
    assert.deepEqual(fixture.inputs, []);
});

Then("the HTTP body is the core's answer", () => {
    assert.ok(fixture.scriptedResponse?.kind === "answer");
    assert.deepEqual(response.document, fixture.scriptedResponse.answer);
});

Then("the HTTP header {string} is {string}", (name: string, value: string) => {
    assert.equal(response.headers.get(name), value);
});

Then("the core received {string} with the job", (type: string) => {
    const [input] = fixture.inputs;
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
    assert.deepEqual(fixture.inputs, [{ type, request: 1, submission }]);
});

Then("the HTTP body has {string} {string}", (field: string, value: string) => {
    assert.equal(response.document[field], value);
});

Then("the problem's type, title, detail, remedy and nextSubmission are present", () => {
    const { title, detail, remedy, nextSubmission } = response.document;
    assert.equal(title, "The platform's service is unavailable");
    assert.equal(detail, "the table does not answer");
    assert.equal(remedy, "come back");
    assert.equal(nextSubmission, "next-2");
});

Then("the HTTP server is healthy", async () => {
    const health = await fixture.call("GET", "/healthz");
    assert.equal(health.status, 200);
});

Then("the raw HTTP response has status {int}", (status: number) => {
    assert.match(rawResponse, new RegExp(`^HTTP/1\\.1 ${status} `));
});

Then("the core is informed that the caller's request was closed", async () => {
    await waitUntil(() => fixture.inputs.length === 2);
    assert.deepEqual(fixture.inputs[1], { type: "requestClosed", request: 1 });
});

Then("a late answer has no effect", async () => {
    fixture.resolve(1, { kind: "answer", answer: createAnswer("complete") });
    const health = await fixture.call("GET", "/healthz");
    assert.equal(health.status, 200);
});

Then("the internal error is logged", () => {
    assert.deepEqual(fixture.eventLog.messages, [
        "error: a request failed because of an internal error; report this log line",
    ]);
});

Then("the waiting caller receives status {int}", async (status: number) => {
    assert.equal((await waitingCall)?.status, status);
});

Then("the HTTP server has closed", async () => {
    await serverClosed;
    await assert.rejects(fixture.call("GET", "/healthz"));
});

Then("every HTTP status is from {int} to {int}", (lowest: number, highest: number) => {
    assert.ok(statuses.length > 0);
    assert.ok(statuses.every(status => status >= lowest && status <= highest));
});

Then("the readiness lists {string} as missing", (missing: string) => {
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
