import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import type { JobResult } from "@lovagepitch/client/jobResult";
import { digestManifest } from "@lovagepitch/configuration/digestManifest";
import { loadManifest } from "@lovagepitch/configuration/loadManifest";
import { Err, Ok } from "@lovagepitch/utils/result";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { ProcessReport } from "../commands/showStatus.js";
import type { ExitCode } from "../exitCode.js";
import type { ProcessStatus } from "../processStatus.js";
import { runCommandLine } from "../runCommandLine.js";
import { SystemEnvironment } from "../systemEnvironment.js";
import type { TableFault } from "./memoryTable.js";
import { TestEnvironment } from "./testEnvironment.js";

let environment: TestEnvironment;
let exitCode: ExitCode;
let statusServer: Server | undefined;
let statusBody = "";

const agentIncarnation = "00ff00ff00ff00ff";
const identity = { kind: "issued-id", submission: "s1" } as const;
const jobAnswer = {
    submission: "s1",
    configurationVersion: 1,
    tasks: [{ index: 0, state: "succeeded", output: 1, worker: "worker-1", availabilityZone: "dehiwala" }],
} as const;

const jobResults: Readonly<Record<string, JobResult>> = {
    complete: { kind: "complete", identity, answer: { ...jobAnswer, state: "complete" } },
    failed: { kind: "failed", identity, answer: { ...jobAnswer, state: "failed", reason: "task 0 failed", tasks: [] } },
    refused: { kind: "refused", identity, problem: createProblem("overloaded") },
    unreachable: { kind: "refused", identity, problem: createProblem("unreachable") },
    unknown: { kind: "unknown", identity, reason: "the connection was cut" },
};

function createProblem(kind: "overloaded" | "unreachable") {
    return { kind, status: 503, detail: "d", remedy: "r", execution: "not-run" } as const;
}

function createStatus(state: string): ProcessStatus | undefined {
    if (state === "silent") {
        return undefined;
    }
    return {
        configurationVersion: state === "behind" ? 0 : 1,
        ready: state !== "not ready",
        storeHealthy: true,
    };
}

Before(() => {
    environment = new TestEnvironment();
});

After(() => {
    statusServer?.close();
    statusServer?.closeAllConnections();
    statusServer = undefined;
});

When(/^the operator runs "(.*)"$/, async (command: string) => {
    environment.output.length = 0;
    environment.errors.length = 0;
    exitCode = await runCommandLine(command.split(" ").filter(word => word !== ""), environment);
});

Then("the command's exit code is {int}", (expected: number) => {
    assert.equal(exitCode, expected, environment.errors.join("\n"));
    assert.equal(environment.errors.length > 0, expected !== 0);
});

Then("the command's error contains {string}", (text: string) => {
    assert.ok(environment.errors.join("\n").includes(text), environment.errors.join("\n"));
});

Given("the operator's log {string} of three jobs, with a cut-off line", (name: string) => {
    const createLine = (second: number, event: string, fields: object): string => {
        const time = new Date(Date.UTC(2026, 2, 21, 5, 57, 50) + second * 1000).toISOString();
        return JSON.stringify({ time, level: "info", process: "front-1", event, ...fields });
    };
    const answer = { answer: "done", route: "route-a", afterMilliseconds: 300, latestStart: 120 };
    environment.files.set(
        name,
        [
            createLine(0, "entry starts", { availabilityZone: "zone-a" }),
            `  0.1 front-1 ${createLine(0.1, "tasks placed", { job: "a1", sinceArrival: 12 })}`,
            createLine(0.2, "worker drains", { worker: "life-1" }),
            createLine(0.4, "job answered", { ...answer, job: "a1" }),
            createLine(0.5, "job answered", {
                ...answer,
                job: "a2",
                answer: "refused",
                reason: "no-room-in-time",
                afterMilliseconds: 120,
                fittingTasks: 1,
            }),
            createLine(2.7, "run did not succeed", { job: "a3", end: "stalled", ranMilliseconds: 250 }),
            createLine(2.8, "tasks placed", { job: "a3", sinceArrival: 700 }),
            createLine(3.1, "job answered", { ...answer, job: "a3", route: "route-b", afterMilliseconds: 1000 }),
            createLine(3.2, "log lines were left out", { lines: 5 }).slice(0, -30),
            createLine(3.2, "log lines were left out", { lines: 5 }),
        ].join("\n") + "\n",
    );
});

Given("the operator's log {string} of an agent", (name: string) => {
    const fields = { time: "2026-03-21T05:57:55.400Z", process: "side-1", event: "agent starts" };
    environment.files.set(name, `${JSON.stringify(fields)}\nnull`);
});

Then("the command's output has a line that matches {string}", (pattern: string) => {
    const expression = new RegExp(pattern);
    assert.ok(environment.output.some(line => expression.test(line)), environment.output.join("\n"));
});

Then(
    "the command's output is JSON with {int} seconds and {int} unreadable lines",
    (seconds: number, unreadable: number) => {
        const output = JSON.parse(environment.output.join("")) as {
            readonly seconds: readonly unknown[];
            readonly lines: { readonly unreadable: number };
        };
        assert.equal(output.seconds.length, seconds);
        assert.equal(output.lines.unreadable, unreadable);
    },
);

Then("the command's output contains {string}", (text: string) => {
    assert.ok(environment.output.join("\n").includes(text), environment.output.join("\n"));
});

Then(/^the command's JSON output has "(.*)" (.*)$/, (name: string, value: string) => {
    const output = JSON.parse(environment.output.join("")) as Readonly<Record<string, unknown>>;
    assert.deepEqual(output[name], JSON.parse(value));
});

Then("the entry was run with {string}", (path: string) => {
    assert.deepEqual(environment.startedEntries, [path]);
});

Given("version 1 of the manifest was applied by {string}", async (appliedBy: string) => {
    const text = readFileSync("examples/association/manifest.jsonc", "utf8");
    const manifest = loadManifest(text, "manifest.jsonc").unwrap();
    const digest = digestManifest(manifest);
    const applied = await environment.openManifestStore().apply({ baseVersion: 0, manifest, digest, appliedBy });
    assert.ok(applied.ok);
});

Given("the table of the command line is {string}", (fault: TableFault) => {
    environment.table.fault = fault;
});

Given(/^the operator's file "(.*?)" with the line "(.*)"$/, (name: string, line: string) => {
    environment.files.set(name, line);
});

Given("the operator's log {string} of three processes", (name: string) => {
    const job = "66be930ea9f22e40";
    const createLine = (time: string, process: string, event: string, fields: object): string => {
        return JSON.stringify({ time, level: "info", process, event, ...fields });
    };
    environment.files.set(
        name,
        [
            createLine("2026-03-21T05:57:56.839Z", "entry-1", "job answered", { job, answer: "done" }),
            `  4.3283 entry-1 ${
                createLine("2026-03-21T05:57:55.328Z", "entry-1", "tasks placed", { job, tasks: [[0, 1, "a"]] })
            }`,
            createLine("2026-03-21T05:57:55.400Z", "entry-1", "job answered", { job: "other", answer: "done" }),
            `not a log line that names ${job}`,
        ].join("\n"),
    );
    const stalled = createLine("2026-03-21T05:57:55.900Z", "agent-a", "run stopped because of insufficient progress", {
        job,
        task: 0,
    });
    const crashes = [[[job, 0, 1, 14], ["other", 3, 1, 200]], [["other", 3, 2, 30]]].map((runs, index) => {
        return createLine(`2026-03-21T05:57:55.8${index}0Z`, "agent-a", "worker has crashed", { worker: "w-1", runs });
    });
    environment.files.set("agent.log", [stalled, ...crashes].join("\n"));
});

Then("the command's output lists the events of job {string} in order of time", (job: string) => {
    assert.deepEqual(environment.output, [
        "2026-03-21T05:57:55.328Z entry-1: tasks placed tasks=[[0,1,\"a\"]]",
        "2026-03-21T05:57:55.800Z agent-a: worker has crashed worker=w-1 runs=[[0,1,14]] otherRuns=1",
        "2026-03-21T05:57:55.900Z agent-a: run stopped because of insufficient progress task=0",
        "2026-03-21T05:57:56.839Z entry-1: job answered answer=done",
    ], job);
});

Given("the operator's name is not known", () => {
    environment.userName = undefined;
});

Given("the client returns the job result {string}", (result: string) => {
    environment.jobResult = jobResults[result];
});

Then("one job was submitted with {string}", (kind: string) => {
    assert.deepEqual(environment.submittedJobs.map(submitted => submitted.identity), [kind]);
    assert.equal(environment.submittedJobs[0]?.job.idempotent, false);
});

Given("an entry at {string} that is {string}", (url: string, state: string) => {
    const status = createStatus(state);
    if (status !== undefined) {
        environment.statuses.set(url, status);
    }
});

Given("a registered agent at {string} that is {string}", async (address: string, state: string) => {
    const registered = await environment.registry.registerAgent({
        address,
        incarnation: agentIncarnation,
        worker: "worker-1",
        rack: "rack-1",
        availabilityZone: "kolonnawa",
        cores: 16,
        memoryMegabytes: 32768,
        state: "serving",
        renewedAtMilliseconds: 1_700_000_000_000,
    });
    assert.ok(registered.ok);
    if (state === "gone") {
        assert.ok((await environment.registry.markAgentLeft(agentIncarnation)).ok);
    }
    const status = createStatus(state);
    if (status !== undefined) {
        environment.statuses.set(`http://${address}`, status);
    }
});

Given(
    "the users' store holds configuration version {int} and entries {string} and {string}",
    (configurationVersion: number, first: string, second: string) => {
        environment.overview = Ok({ configurationVersion, entryAddresses: [first, second] });
    },
);

Given("the metrics at {string} report version {int}", (address: string, version: number) => {
    if (version >= 0) {
        environment.metrics.set(address, `lovagepitch_open_jobs 0\nlovagepitch_configuration_version ${version}\n`);
    }
});

Given(/^the users' store (is silent|holds no configuration|holds an unreadable configuration)$/, (state: string) => {
    const configurationVersion = state === "holds no configuration" ? undefined : "unreadable";
    environment.overview = state === "is silent"
        ? Err({ kind: "unavailable", message: "no answer within 1000 ms; the call is retried" })
        : Ok({ configurationVersion, entryAddresses: [] });
});

Then("the JSON status shows states {string}", (expected: string) => {
    const report = JSON.parse(environment.output.join("")) as { readonly processes: readonly ProcessReport[] };
    assert.equal(report.processes.map(process => process.state).join(", "), expected);
});

Given("a process that serves GET \\/status", async () => {
    statusBody = JSON.stringify({ ...createStatus("in force"), incarnation: "00ff" });
    const server = createServer((request, response) => {
        response.statusCode = request.url === "/status" ? 200 : 404;
        response.end(statusBody);
    });
    statusServer = server;
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
});

Then("the command line reads its status", async () => {
    const { port } = statusServer?.address() as AddressInfo;
    const status = await new SystemEnvironment().readStatus(`http://127.0.0.1:${port}`);
    assert.deepEqual(status, createStatus("in force"));
});

Then(
    "reads no status from a process that responds with {string}, {string} or not at all",
    async (text: string, json: string) => {
        const { port } = statusServer?.address() as AddressInfo;
        const url = `http://127.0.0.1:${port}`;
        for (const body of [text, json]) {
            statusBody = body;
            assert.equal(await new SystemEnvironment().readStatus(url), undefined);
        }
        statusServer?.closeAllConnections();
        await new Promise(resolve => statusServer?.close(resolve));
        statusServer = undefined;
        assert.equal(await new SystemEnvironment().readStatus(url), undefined);
    },
);
