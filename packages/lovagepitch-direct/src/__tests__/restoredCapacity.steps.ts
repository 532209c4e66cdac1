import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { AgentDriver, createOrder, createRegistration, createReport } from "./agentDriver.js";
import { ConnectedEntry, service } from "./connectedEntry.js";

const worker = "life-1";
const capacity = { milliCores: 8000, memoryMegabytes: 8192, accelerators: 0 };

let agent = new AgentDriver(false);
let entry = new ConnectedEntry();
let startedAt: number | undefined;
let orders = 0;
let sequence = 10;

function createCapacity(cores: number) {
    return { milliCores: cores * 1000, memoryMegabytes: 32_768, accelerators: 0 };
}

function createStatus(acceptsTasks: boolean, isRestored: boolean) {
    return {
        service,
        labels: [],
        capacity,
        free: capacity,
        awaited: createCapacity(0),
        acceptsTasks,
        isOnTrial: false,
        ...isRestored ? { isRestored } : {},
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
    /^the worker (accepts|rejects) the first epoch of a process that starts (\d+) ms later$/,
    (result: string, later: string) => {
        const highest = Math.max(...agent.listViewCalls().map(({ epoch }) => epoch));
        const successor = new AgentDriver(false, "agent-2");
        const registration = { ...createRegistration(worker), ...startedAt === undefined ? {} : { startedAt } };
        const workerClock = agent.now + Number(later);
        successor.accept({ kind: "worker-restored", registration });
        successor.answerView({ startedAt, workerClock, running: [], ended: [] });
        const first = successor.listViewCalls().at(-1)?.epoch ?? 0;
        assert.equal(first >= highest ? "accepts" : "rejects", result, `${first} after ${highest}`);
    },
);

When("the worker reports a capacity of {int} cores", (cores: number) => {
    sequence += 1;
    agent.accept({
        kind: "worker-reported",
        report: { ...createReport(worker), workerClock: agent.now, sequence, capacity: createCapacity(cores) },
    });
});

When("an entry names a capacity of {int} cores", (cores: number) => {
    agent.receiveStarts([], 0, { workerCapacity: createCapacity(cores) });
});

When("an entry orders a task of {int} cores from the restored worker", (cores: number) => {
    orders += 1;
    const order = createOrder(`a${orders}`);
    agent.receiveStarts([{ ...order, needs: { ...order.needs, milliCores: cores * 1000 } }]);
    agent.advance(1);
});

Then(/^the task is (started|not started)$/, (result: string) => {
    const started = agent.outputs.filter(output => output.kind === "start" && output.order.job === `a${orders}`);
    assert.equal(started.length, result === "started" ? 1 : 0);
});

Given(/^an entry whose agent has reported a worker that (accepts|rejects) tasks$/, (accepts: string) => {
    entry = new ConnectedEntry();
    entry.connect("agent-1", { instance: "side-1", worker: createStatus(true, false) });
    entry.report("agent-1", { instance: "side-1", worker: createStatus(accepts === "accepts", false) });
});

When("the next process of its agent says that it knows no worker", () => {
    entry.connect("agent-2", { instance: "side-1", worker: undefined });
    entry.disconnect("agent-2");
});

When(
    "the agent ends, and the next process of it has restored its worker {int} ms later",
    (milliseconds: number) => {
        entry.disconnect("agent-1");
        entry.advance(milliseconds);
        entry.connect("agent-3", { instance: "side-1", worker: createStatus(false, true) });
        entry.advance(100);
    },
);

Then(/^the entry names (its capacity|no capacity)$/, (what: string) => {
    const frame = entry.listFrames("agent-3").at(0);
    assert.ok(frame !== undefined);
    assert.deepEqual(frame.workerCapacity, what === "its capacity" ? capacity : undefined);
});
