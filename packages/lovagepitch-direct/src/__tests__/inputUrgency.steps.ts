import { Given, Then, When } from "@cucumber/cucumber";
import { ManualClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import assert from "node:assert/strict";
import { AgentCore } from "../agent/agentCore.js";
import type { AgentInput, AgentOutput } from "../agent/agentPorts.js";
import { EntryCore } from "../entry/entryCore.js";
import type { EntryInput, EntryOutput } from "../entry/entryPorts.js";
import { createOrder, createReport, entryAddress } from "./agentDriver.js";
import { createJob } from "./connectedEntry.js";
import { createAgentFrame, createEntryFrame, exampleCapacity } from "./frameExamples.js";

const otherEntry = { address: "10.1.0.2:7720", incarnation: "entry-2" };

const runs = ["00000000000000a1", "00000000000000a2"];

let clock = new ManualClock(1_000_000);
let agent = createAgent();
let entry = createEntry();
let agentOutputs: AgentOutput[] = [];
let entryOutputs: EntryOutput[] = [];
let isUrgent = true;
let heartbeatReadAt = 0;

function createAgent(): AgentCore {
    return new AgentCore({ incarnation: "agent-1", instance: "side-1", availabilityZone: "zone-1" }, clock);
}

function createEntry(): EntryCore {
    const identity = { incarnation: "entry-1", instance: "front-1", availabilityZone: "zone-1", address: entryAddress };
    return new EntryCore(identity, clock, new RandomSource(1));
}

function acceptAtAgent(input: AgentInput): void {
    agent.accept(input);
    isUrgent = agent.isUrgent(input);
}

function acceptAtEntry(input: EntryInput): void {
    entry.accept(input);
    isUrgent = entry.isUrgent(input);
}

function tickAgent(...inputs: readonly AgentInput[]): void {
    inputs.forEach(acceptAtAgent);
    agentOutputs.push(...agent.tick());
}

function tickEntry(...inputs: readonly EntryInput[]): void {
    inputs.forEach(acceptAtEntry);
    entryOutputs.push(...entry.tick());
}

type EntryFrameInput = Extract<AgentInput, { readonly kind: "frame" }>;

function createHeartbeat(change: Partial<EntryFrameInput["frame"]> = {}): EntryFrameInput {
    const now = clock.nowMilliseconds();
    const frame = createEntryFrame({ newestSentAt: now, ...change });
    return { kind: "frame", address: entryAddress, frame, receivedAt: now };
}

function createAnswer(outcome: "accepted" | "rejected"): AgentInput {
    const run = { job: runs[0] ?? "", task: 0, run: 1 };
    return { kind: "start-answered", life: 1, run, outcome, receivedAt: clock.nowMilliseconds() };
}

const agentInputs: Readonly<Record<string, () => AgentInput>> = {
    "a heartbeat of its entry": () => createHeartbeat(),
    "the confirmation of a start": () => createAnswer("accepted"),
    "the rejection of a start": () => createAnswer("rejected"),
    "a start order": () => createHeartbeat({ starts: [createOrder("00000000000000a3")] }),
    "a stop order": () => createHeartbeat({ stops: [{ job: runs[0] ?? "", task: 0, run: 1 }] }),
    "a heartbeat of another process of the entry": () => createHeartbeat({ entry: "entry-3" }),
    "a heartbeat that asks for capacity": () => createHeartbeat({ awaitsCapacity: true }),
    "a second heartbeat that asks for capacity": () => {
        tickAgent(createHeartbeat({ awaitsCapacity: true }));
        return createHeartbeat({ awaitsCapacity: true });
    },
    "a heartbeat with a newer configuration": () => {
        return createHeartbeat({ configuration: { version: 2, configuration: undefined } });
    },
    "a heartbeat with evacuated zones": () => createHeartbeat({ evacuations: { revision: 1, zones: ["zone-2"] } }),
};

Given("an agent with a worker and two runs in start", () => {
    clock = new ManualClock(1_000_000);
    agent = createAgent();
    agentOutputs = [];
    tickAgent({ kind: "worker-reported", report: createReport("life-1") });
    const call = agentOutputs.find(output => output.kind === "view")?.call ?? 0;
    const view = { workerClock: clock.nowMilliseconds(), running: [], ended: [] };
    tickAgent({ kind: "view", call, view });
    tickAgent({ kind: "entries-found", entries: [{ address: entryAddress, availabilityZone: "zone-1" }] });
    tickAgent({ kind: "connected", address: entryAddress });
    tickAgent(createHeartbeat());
    tickAgent(createHeartbeat({ starts: runs.map(createOrder) }));
    assert.equal(agentOutputs.filter(output => output.kind === "start").length, runs.length);
});

When(/^it receives (?!the confirmation of a start that)(.+)$/, (description: string) => {
    const [, repeated, name = description] = /^(\d+) heartbeats (.+)$/.exec(description) ?? [];
    const times = Number(repeated ?? 1);
    const key = repeated === undefined ? name : `a heartbeat ${name}`;
    for (let count = 0; count < times; count += 1) {
        const agentInput = agentInputs[key];
        const entryInput = entryInputs[key];
        if (entry.openJobs > 0 && entryInput !== undefined) {
            acceptAtEntry(entryInput());
        }
        else {
            assert.ok(agentInput, `unknown input: ${description}`);
            acceptAtAgent(agentInput());
        }
    }
});

Then(/^the input is (not urgent|urgent)$/, (urgency: string) => {
    assert.equal(isUrgent, urgency === "urgent");
    entry = createEntry();
});

When("it receives the confirmation of a start that it processes {int} ms later", (milliseconds: number) => {
    acceptAtAgent(createAnswer("accepted"));
    heartbeatReadAt = clock.nowMilliseconds();
    acceptAtAgent(createHeartbeat({ sequence: 3 }));
    clock.advanceTo(clock.nowMilliseconds() + milliseconds);
    agentOutputs = [];
    tickAgent();
});

Then("it has not repeated the confirmed start", () => {
    const repeated = agentOutputs.filter(output => output.kind === "start" && output.run.job === runs[0]);
    assert.equal(repeated.length, 0);
});

Then("its next frame says for how long it has had the entry's newest frame since that was read", () => {
    clock.advanceTo(clock.nowMilliseconds() + 100);
    tickAgent();
    const frame = agentOutputs.flatMap(output => output.kind === "frame" ? [output.frame] : []).at(-1);
    assert.equal(frame?.includedSequence, 3);
    assert.equal(frame.includedForMilliseconds, frame.sentAt - heartbeatReadAt);
});

function createReportInput(change: Partial<ReturnType<typeof createAgentFrame>> = {}, connection = 1): EntryInput {
    const now = clock.nowMilliseconds();
    const frame = createAgentFrame({ sentAt: now, configuration: { version: 0, configuration: undefined }, ...change });
    return { kind: "frame", connection, frame, receivedAt: now };
}

function createStatus(milliCores: number, acceptsTasks = true): ReturnType<typeof createAgentFrame>["worker"] {
    const awaited = { milliCores: 0, memoryMegabytes: 0, accelerators: 0 };
    return {
        service: "drives",
        labels: ["a"],
        capacity: exampleCapacity,
        free: { ...exampleCapacity, milliCores },
        awaited,
        acceptsTasks,
        isOnTrial: false,
    };
}

function createAnnouncement(jobs: readonly (readonly [string, number, number])[], incarnation: string): EntryInput {
    const message = { kind: "open-jobs", from: { ...otherEntry, incarnation }, jobs } as const;
    return { kind: "ownership", message, receivedAt: clock.nowMilliseconds() };
}

const entryInputs: Readonly<Record<string, () => EntryInput>> = {
    "a heartbeat of its agent": () => createReportInput(),
    "a heartbeat with other free capacity": () => createReportInput({ worker: createStatus(9000) }),
    "the end of a run": () => {
        return createReportInput({
            ended: [{ job: runs[0] ?? "", task: 0, run: 1, end: "succeeded", ranMilliseconds: 5 }],
        });
    },
    "the first frame of a connection": () => createReportInput({ openRuns: [] }),
    "a frame of an unknown agent": () => createReportInput({ agent: "agent-2" }),
    "a frame of a worker that accepts no tasks": () => createReportInput({ worker: createStatus(9000, false) }),
    "a heartbeat on a former connection": () => createReportInput({}, 7),
    "a sign of life of another entry": () => createAnnouncement([], otherEntry.incarnation),
    "the first sign of life of another entry": () => createAnnouncement([], "entry-9"),
    "an announcement of a job": () => createAnnouncement([["00000000000000b1", 1, 1000]], otherEntry.incarnation),
};

Given(/^an entry with an agent and a (started|waiting) job$/, (state: string) => {
    clock = new ManualClock(1_000_000);
    entry = createEntry();
    entryOutputs = [];
    tickEntry(createAnnouncement([], otherEntry.incarnation));
    tickEntry(createReportInput({ openRuns: [], worker: createStatus(state === "started" ? 16_000 : 0) }));
    const job = createJob(runs[0] ?? "", { service: "drives" });
    tickEntry({ kind: "submitted", request: 1, job });
    const starts = entryOutputs.filter(output => output.kind === "frame" && output.frame.starts.length > 0);
    assert.equal(starts.length, state === "started" ? 1 : 0);
});

When(
    "its agent's latest frame is processed {int} ms after it was read",
    (milliseconds: number) => {
        acceptAtEntry(createReportInput());
        clock.advanceTo(clock.nowMilliseconds() + milliseconds);
        tickEntry();
    },
);

Then("the agent gets no tasks {int} ms after that", (milliseconds: number) => {
    clock.advanceTo(clock.nowMilliseconds() + milliseconds);
    assert.equal(entry.isReady, false);
});
