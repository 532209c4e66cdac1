import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { AgentOutput, OrderOutcome, WorkerView } from "../agent/agentPorts.js";
import type { StartOrder } from "../model/frames.js";
import { AgentDriver, createOrder, createRegistration, createReport } from "./agentDriver.js";

const worker = "life-1";

/** Clock of the life that started first, in milliseconds; later lives begin at 0. */
const firstLifeClock = 7000;

/** Time after which the next view call has been sent, in milliseconds. */
const viewDelayMilliseconds = 5;

let agent = new AgentDriver(false);
let formerEpoch = 0;

function getEpoch(): number {
    return agent.listViewCalls().at(-1)?.epoch ?? 0;
}

function createRun(job: string): { readonly job: string; readonly task: number; readonly run: number } {
    return { job, task: 0, run: 1 };
}

function report(startedAt: number | undefined, sequence: number, isDraining = false): void {
    const workerClock = startedAt === 2000 ? 50 : firstLifeClock;
    agent.accept({
        kind: "worker-reported",
        report: { ...createReport(worker), startedAt, sequence, isDraining, workerClock },
    });
}

function createView(startedAt: number | undefined, jobs: string): WorkerView {
    const names = jobs === "" ? [] : jobs.split(", ");
    return {
        startedAt,
        workerClock: startedAt === 2000 ? 60 : firstLifeClock + 60,
        running: names.map(job => ({ ...createRun(job), percent: 10 })),
        ended: [],
    };
}

function listOrders(kind: "start" | "stop"): readonly AgentOutput[] {
    return agent.outputs.filter(output => output.kind === kind);
}

function listEnds(): string {
    agent.advance(5);
    return agent.outputs
        .flatMap(output => output.kind === "frame" ? output.frame.ended.map(({ job, end }) => `${job} ${end}`) : [])
        .join(", ");
}

function doesAcceptTasks(): boolean | undefined {
    for (let passed = 0; passed < 300; passed += 100) {
        agent.advance(100);
        agent.receiveStarts([]);
    }
    return agent.outputs.filter(output => output.kind === "frame").at(-1)?.frame.worker?.acceptsTasks;
}

Given(
    "an agent whose worker has started at {int} with run {string} running, run {string} ordered and {int} ends acknowledged",
    (startedAt: number, running: string, ordered: string, ends: number) => {
        agent = new AgentDriver(false);
        agent.prepare(worker);
        report(startedAt, 4);
        agent.receiveStarts([createOrder(running)]);
        agent.accept({ kind: "start-answered", life: 1, run: createRun(running), outcome: "accepted" });
        const ended = { ...createRun("unknown"), sequence: ends, end: "succeeded" as const };
        agent.answerView({ ...createView(startedAt, running), ended: [ended] });
        // After a view with ends, the next call collects those of some milliseconds.
        agent.advance(viewDelayMilliseconds);
        agent.receiveStarts([createOrder(ordered)]);
    },
);

Given("an agent that has restored a worker that started at {int}", (startedAt: number) => {
    agent = new AgentDriver(false);
    agent.connectEntry();
    agent.accept({ kind: "worker-restored", registration: { ...createRegistration(worker), startedAt } });
});

Given("an agent without a record whose worker has started at {int}", (startedAt: number) => {
    agent = new AgentDriver(false);
    report(startedAt, 1);
});

Given("an agent whose worker does not say when it started", () => {
    agent = new AgentDriver(false);
    agent.connectEntry();
    report(undefined, 1);
});

Given("a later process of the agent whose worker has started at {int} and whose clock shows {int} ms", (
    startedAt: number,
    workerClock: number,
) => {
    formerEpoch = getEpoch();
    agent = new AgentDriver(false);
    agent.accept({ kind: "worker-reported", report: { ...createReport(worker), startedAt, workerClock } });
});

When("the worker that has started at {int} reports as number {int}", (startedAt: number, sequence: number) => {
    report(startedAt, sequence);
});

When(
    "the worker that has started at {int} reports as number {int} that it drains",
    (startedAt: number, sequence: number) => report(startedAt, sequence, true),
);

When("the worker that has started at {int} answers the view with runs {string}", (startedAt: number, jobs: string) => {
    agent.answerView(createView(startedAt, jobs));
});

When("the worker answers the view without a start", () => {
    agent.answerView(createView(undefined, ""));
});

When(
    "the worker that has started at {int} lists run {string} as succeeded with number {int}",
    (startedAt: number, job: string, sequence: number) => {
        const ended = [{ ...createRun(job), sequence, end: "succeeded" as const }];
        agent.answerView({ ...createView(startedAt, ""), ended });
    },
);

When(
    "the earlier view call is answered by the life that started at {int} with runs {string}",
    (startedAt: number, jobs: string) => {
        const call = agent.listViewCalls().at(-2)?.call ?? 0;
        agent.accept({ kind: "view", call, view: createView(startedAt, jobs) });
    },
);

When("the former life's answer to the start order of {string} is {string}", (job: string, outcome: string) => {
    agent.accept({ kind: "start-answered", life: 1, run: createRun(job), outcome: outcome as OrderOutcome });
});

When("the answer to the start order of {string} is lost, and the next view lists only {string}", (
    job: string,
    other: string,
) => {
    agent.accept({ kind: "start-answered", life: 1, run: createRun(job), outcome: "unknown" });
    agent.answerView(createView(1000, other));
    agent.accept({ kind: "stop-answered", life: 1, run: createRun(job), outcome: "accepted" });
});

When("an order {string} is queued for lack of room", (job: string) => {
    const order: StartOrder = {
        ...createOrder(job),
        needs: { milliCores: 16_000, memoryMegabytes: 64, accelerators: 0 },
        mayWaitMilliseconds: 1000,
    };
    agent.receiveStarts([order]);
});

When("the worker announces its end without its start", () => {
    agent.accept({ kind: "worker-left", worker, startedAt: undefined });
});

When("the worker that has started at {int} announces its end", (startedAt: number) => {
    agent.accept({ kind: "worker-left", worker, startedAt });
});

When("all its calls are refused for {int} ms", (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += viewDelayMilliseconds) {
        const call = agent.listViewCalls().at(-1)?.call ?? 0;
        agent.accept({ kind: "view-failed", call, failure: { kind: "refused" } });
        agent.receiveStarts([]);
        agent.advance(viewDelayMilliseconds);
    }
});

When("{int} ms pass for the worker's agent", (milliseconds: number) => agent.advance(milliseconds));

When("the worker confirms the stop of {string} and lists no run", (job: string) => {
    const life = listOrders("stop").flatMap(output => output.kind === "stop" ? [output.life] : []).at(-1) ?? 0;
    agent.accept({ kind: "stop-answered", life, run: createRun(job), outcome: "accepted" });
    agent.answerView(createView(2000, ""));
    agent.answerView(createView(2000, ""));
});

Then("the next view call has a higher epoch and acknowledges no end", () => {
    const calls = agent.listViewCalls();
    const [former, latest] = [calls.at(-2), calls.at(-1)];
    assert.ok(former !== undefined && latest !== undefined && latest.epoch > former.epoch);
    assert.equal(latest.acknowledgedEndSequence, 0);
});

Then("its epoch is higher than that of the earlier process", () => assert.ok(getEpoch() > formerEpoch));

Then("no end has been reported", () => assert.equal(listEnds(), ""));

Then("the ends {string} have been reported", (ends: string) => assert.equal(listEnds(), ends));

Then("the worker accepts no tasks", () => assert.equal(doesAcceptTasks(), false));

Then("the worker accepts tasks", () => assert.equal(doesAcceptTasks(), true));

Then("run {string} is ordered to stop, and the worker accepts no tasks", (job: string) => {
    assert.ok(listOrders("stop").some(output => output.kind === "stop" && output.run.job === job));
    assert.equal(doesAcceptTasks(), false);
});

Then("the start of {string} was ordered once", (job: string) => {
    const starts = listOrders("start").filter(output => output.kind === "start" && output.order.job === job);
    assert.equal(starts.length, 1);
});

Then("the latest record names the start {int}", (startedAt: number) => {
    const records = agent.outputs.filter(output => output.kind === "worker-changed");
    assert.equal(records.at(-1)?.registration?.startedAt, startedAt);
});
