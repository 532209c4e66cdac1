import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { WorkerStatus } from "../model/workerStatus.js";
import { AgentDriver, createOrder, createRegistration, createReport } from "./agentDriver.js";
import { ConnectedEntry, service } from "./connectedEntry.js";

const worker = "life-1";
const capacity = { milliCores: 8000, memoryMegabytes: 8192, accelerators: 0 };

let agent = new AgentDriver(false);
let entry = new ConnectedEntry();
let startedAt: number | undefined;
let orders = 0;
/** Agent whose process has restored its worker. */
let namedTo = "agent-3";
let sequence = 10;

function createCapacity(cores: number) {
    return { milliCores: cores * 1000, memoryMegabytes: 32_768, accelerators: 0 };
}

/** Report of the worker that the entry has heard of. */
const latestReport = { worker, workerClock: 700_000 };

function createStatus(acceptsTasks: boolean, isRestored: boolean): WorkerStatus {
    return {
        service,
        labels: [],
        capacity,
        free: capacity,
        awaited: createCapacity(0),
        acceptsTasks,
        isOnTrial: false,
        ...isRestored ? { isRestored } : { latestReport },
    };
}

function rejectView(workerClock: number, startedAt?: number): void {
    const call = agent.listViewCalls().at(-1)?.call ?? 0;
    agent.accept({ kind: "view-failed", call, failure: { kind: "outdated-epoch", workerClock, startedAt } });
}

Given(
    /^an agent that has restored a worker of 16 cores, which (accepts|rejects) its epoch(?: once)?$/,
    (answers: string) => {
        agent = new AgentDriver(false);
        agent.accept({ kind: "worker-restored", registration: createRegistration(worker) });
        // The first answer gives the worker's clock, of which the epoch is derived.
        agent.answerView({ running: [], ended: [] });
        if (answers === "rejects") {
            rejectView(agent.now);
        }
        agent.answerView({ running: [], ended: [] });
        agent.connectEntry();
    },
);

Given(/^an agent of a worker that started at (\d+|unknown)$/, (start: string) => {
    startedAt = start === "unknown" ? undefined : Number(start);
    agent = new AgentDriver(false);
    const report = { ...createReport(worker), ...startedAt === undefined ? {} : { startedAt }, workerClock: agent.now };
    agent.accept({ kind: "worker-reported", report });
    agent.answerView({ startedAt, running: [], ended: [] });
});

When(
    /^the worker (reports less capacity|reports that it drains|reports more capacity|reports the same capacity), and 300 ms pass$/,
    (change: string) => {
        sequence += 1;
        const cores: Readonly<Record<string, number>> = { "reports less capacity": 8, "reports more capacity": 32 };
        const report = {
            ...createReport(worker),
            ...startedAt === undefined ? {} : { startedAt },
            capacity: createCapacity(cores[change] ?? 16),
            isDraining: change === "reports that it drains",
            workerClock: agent.now,
            sequence,
        };
        agent.accept({ kind: "worker-reported", report });
        for (let elapsed = 0; elapsed < 300; elapsed += 50) {
            agent.answerView({ startedAt, running: [], ended: [] });
            agent.advance(50);
        }
    },
);

Then(
    "a process that restores the worker of 16 cores {int} ms later starts no task of 1 core",
    (later: number) => {
        const workerClock = agent.now + later;
        agent = new AgentDriver(false, "agent-2");
        const registration = { ...createRegistration(worker), ...startedAt === undefined ? {} : { startedAt } };
        agent.accept({ kind: "worker-restored", registration });
        agent.answerView({ startedAt, workerClock, running: [], ended: [] });
        agent.answerView({ startedAt, workerClock, running: [], ended: [] });
        agent.connectEntry();
        orderTask(1);
        assert.equal(countStarts(), 0);
    },
);

Then(/^the agent names (the latest report|no report) to an entry$/, (what: string) => {
    const reportedAt = agent.now - 300;
    agent.connectEntry();
    agent.advance(1);
    const frame = agent.outputs.filter(output => output.kind === "frame").at(-1)?.frame;
    assert.deepEqual(
        frame?.worker?.latestReport,
        what === "no report" ? undefined : { worker, startedAt, workerClock: reportedAt },
    );
});

When("the worker reports a capacity of {int} cores", (cores: number) => {
    sequence += 1;
    agent.accept({
        kind: "worker-reported",
        report: { ...createReport(worker), workerClock: agent.now, sequence, capacity: createCapacity(cores) },
    });
});

When(
    /^an entry names a capacity of (\d+) cores, reported (\d+) ms ago by (the worker|another worker|another life of it)$/,
    (cores: string, age: string, reporter: string) => {
        const reportedCapacity = {
            worker: reporter === "another worker" ? "life-2" : worker,
            workerClock: agent.now - Number(age),
            ...reporter === "another life of it" ? { startedAt: 5_000_000 } : {},
            capacity: createCapacity(Number(cores)),
        };
        agent.receiveStarts([], 0, { reportedCapacity });
    },
);

When("{int} ms pass while the worker answers", (milliseconds: number) => {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
        agent.advance(50);
        agent.answerView({ running: [], ended: [] });
    }
});

function orderTask(cores: number): void {
    orders += 1;
    const order = createOrder(`a${orders}`);
    agent.receiveStarts([{ ...order, needs: { ...order.needs, milliCores: cores * 1000 } }]);
    agent.advance(1);
}

/** Counts the starts of the latest ordered task. */
function countStarts(): number {
    return agent.outputs.filter(output => output.kind === "start" && output.order.job === `a${orders}`).length;
}

When("an entry orders a task of {int} cores from the restored worker", orderTask);

Then(/^the task is (started|not started)$/, (result: string) => {
    assert.equal(countStarts(), result === "started" ? 1 : 0);
});

Given(
    /^an entry whose agent( of an earlier version)? has reported a worker that (accepts tasks|rejects tasks|drains)$/,
    (isEarlier: string | null, state: string) => {
        entry = new ConnectedEntry();
        const status = (acceptsTasks: boolean, namesReport: boolean): WorkerStatus => ({
            ...createStatus(acceptsTasks, false),
            ...namesReport ? {} : { latestReport: undefined },
        });
        const isCurrent = isEarlier === null;
        entry.connect("agent-1", { instance: "side-1", worker: status(true, isCurrent) });
        const latest = status(state === "accepts tasks", isCurrent && state !== "drains");
        entry.report("agent-1", { instance: "side-1", worker: latest });
    },
);

When("the next process of its agent says that it knows no worker", () => {
    entry.connect("agent-2", { instance: "side-1", worker: undefined });
    entry.disconnect("agent-2");
});

/** A status that a process has from its record, which names another capacity. */
const restoredStatus = { ...createStatus(false, true), capacity: createCapacity(64) };

When(
    "the agent ends, and the next process of it has restored its worker {int} ms later",
    (milliseconds: number) => {
        entry.disconnect("agent-1");
        entry.advance(milliseconds);
        entry.connect("agent-3", { instance: "side-1", worker: restoredStatus });
        entry.advance(100);
        namedTo = "agent-3";
    },
);

When("that process ends, and the next one has restored its worker {int} ms later", (milliseconds: number) => {
    entry.disconnect("agent-3");
    entry.advance(milliseconds);
    entry.connect("agent-4", { instance: "side-1", worker: restoredStatus });
    entry.advance(100);
    namedTo = "agent-4";
});

When(
    "the agent ends, and the next process of it restores its worker {int} ms after it has connected",
    (milliseconds: number) => {
        entry.disconnect("agent-1");
        entry.connect("agent-3", { instance: "side-1", worker: undefined });
        entry.advance(milliseconds);
        entry.report("agent-3", { instance: "side-1", worker: restoredStatus });
        namedTo = "agent-3";
    },
);

Then("the entry has named its capacity within {int} ms", (milliseconds: number) => {
    entry.advance(milliseconds);
    assert.deepEqual(entry.listFrames(namedTo).at(-1)?.reportedCapacity, { ...latestReport, capacity });
});

Then(/^the entry names (its capacity and that report|no capacity)$/, (what: string) => {
    const frame = entry.listFrames(namedTo).at(0);
    assert.ok(frame !== undefined);
    assert.deepEqual(frame.reportedCapacity, what === "no capacity" ? undefined : { ...latestReport, capacity });
});
