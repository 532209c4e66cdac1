import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { AgentOutput, OrderOutcome } from "../agent/agentPorts.js";
import type { RunIdentity } from "../model/frames.js";
import { AgentDriver, createOrder, createReport } from "./agentDriver.js";

const stepMilliseconds = 5;

/** Outcomes of stop orders, by what the worker does with them. */
const stopOutcomes: Readonly<Record<string, OrderOutcome>> = {
    rejects: "rejected",
    accepts: "accepted",
    ignores: "unknown",
};

let agent = new AgentDriver(false);
let runs: readonly RunIdentity[] = [];
let reference = 0;
let outputsBefore = 0;

function createRun(job: string): RunIdentity {
    return { job, task: 0, run: 1 };
}

function listNew(): readonly AgentOutput[] {
    return agent.outputs.slice(outputsBefore);
}

function answerOpenView(jobs: readonly string[]): void {
    const running = runs.filter(({ job }) => jobs.includes(job)).map(run => ({ ...run, percent: 10 }));
    agent.answerView({ running, ended: [] });
}

/** Lets the worker answer views at once, and stops with one outcome. */
function passTime(milliseconds: number, outcome: OrderOutcome, isEntryHeard: boolean): void {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += stepMilliseconds) {
        const seen = agent.outputs.length;
        agent.advance(stepMilliseconds);
        for (const output of agent.outputs.slice(seen)) {
            if (output.kind === "stop") {
                agent.accept({ kind: "stop-answered", life: output.life, run: output.run, outcome });
            }
        }
        if (isEntryHeard) {
            agent.receiveStarts([]);
        }
        answerOpenView(["a1", "a2"]);
    }
}

function getOutcome(answer: string): OrderOutcome {
    const outcome = stopOutcomes[answer];
    assert.ok(outcome, `no outcome for ${answer}`);
    return outcome;
}

Given("an agent whose worker runs the tasks {string} of an entry", (jobs: string) => {
    agent = new AgentDriver(false);
    agent.prepare("life-1");
    runs = jobs.split(", ").map(createRun);
    // Tasks that are estimated to be long do not count as stalled within the time of a scenario.
    agent.receiveStarts(runs.map(({ job }) => ({ ...createOrder(job), estimatedMilliseconds: 20_000 })));
    runs.forEach(run => agent.accept({ kind: "start-answered", life: 1, run, outcome: "accepted" }));
    answerOpenView(["a1", "a2"]);
    agent.receiveStarts([]);
    reference = agent.now;
    outputsBefore = agent.outputs.length;
});

Given("an agent that finds a run of an earlier process", () => {
    agent = new AgentDriver(false);
    agent.accept({ kind: "worker-reported", report: createReport("life-1") });
    answerOpenView(["a1"]);
    agent.connectEntry();
    outputsBefore = 0;
});

When(
    "the entry is silent for {int} ms, and the worker, which lists both runs, {word} stops",
    (milliseconds: number, answer: string) => passTime(milliseconds, getOutcome(answer), false),
);

When("the entry is silent for {int} ms, and then stops {string} before the agent has noticed", (
    milliseconds: number,
    job: string,
) => {
    // The agent was paused until the frame arrives.
    agent.pause(milliseconds);
    agent.receiveStarts([], 0, { stops: [createRun(job)] });
});

When(
    "the worker, which lists both runs, rejects stops for {int} ms while the entry is heard",
    (milliseconds: number) => passTime(milliseconds, "rejected", true),
);

When(
    "the entry stops {string} and is heard for {int} ms, and the worker, which lists both runs, {word} stops",
    (job: string, milliseconds: number, answer: string) => {
        agent.receiveStarts([], 0, { stops: [createRun(job)] });
        reference = agent.now;
        passTime(milliseconds, getOutcome(answer), true);
    },
);

When("the entry is heard for {int} ms, and the worker, which lists both runs, {word} stops", (
    milliseconds: number,
    answer: string,
) => passTime(milliseconds, getOutcome(answer), true));

When("the worker lists only {string} and confirms the stop of {string}", (listed: string, stopped: string) => {
    agent.accept({ kind: "stop-answered", life: 1, run: createRun(stopped), outcome: "accepted" });
    answerOpenView([listed]);
    answerOpenView([listed]);
    agent.advance(5);
});

When("the entry orders the start of {string}", (job: string) => {
    agent.receiveStarts([createOrder(job)]);
});

Then(/^no lease lasts longer than (\d+) ms after (?:the entry was last heard|the stop was requested)$/, (
    bound: string,
) => {
    // The worker's clock is that of the test.
    const ends = agent.outputs.flatMap(output => {
        return output.kind === "view" ? output.leaseExpiresAt ?? [] : output.kind === "start" ? output.latestStart : [];
    });
    const longest = Math.max(...ends) - reference;
    assert.ok(longest <= Number(bound), `a lease lasts ${longest} ms`);
});

Then("the next view call extends the lease", () => {
    assert.notEqual(agent.listViewCalls().at(-1)?.leaseExpiresAt, undefined);
});

Then("every view call extended the lease", () => {
    const calls = listNew().filter(output => output.kind === "view");
    assert.ok(calls.length > 1);
    assert.deepEqual(calls.filter(({ leaseExpiresAt }) => leaseExpiresAt === undefined), []);
});

Then("no view call extended the lease", () => {
    const ends = agent.listViewCalls().map(({ leaseExpiresAt }) => leaseExpiresAt);
    assert.ok(ends.length > 10);
    assert.deepEqual(ends.filter(end => end !== undefined), []);
});

function countStarts(job: string): number {
    return agent.outputs.filter(output => output.kind === "start" && output.order.job === job).length;
}

Then("{string} is reported as not started, and no start of it was ordered", (job: string) => {
    agent.advance(20);
    const ended = agent.outputs.flatMap(output => output.kind === "frame" ? output.frame.ended : []);
    assert.deepEqual(ended.filter(end => end.job === job).map(({ end }) => end), ["not-started"]);
    assert.equal(countStarts(job), 0);
});

Then("the entry is told that the worker accepts no tasks", () => {
    const frames = agent.outputs.filter(output => output.kind === "frame");
    assert.equal(frames.at(-1)?.frame.worker?.acceptsTasks, false);
});

Then("the next view call may wait for an end", () => {
    const call = agent.listViewCalls().at(-1);
    assert.ok(call !== undefined && call.leaseExpiresAt === undefined && call.waitMilliseconds > 0);
});

Then("exactly one start of {string} was ordered", (job: string) => assert.equal(countStarts(job), 1));

function failOpenView(): void {
    const call = agent.listViewCalls().at(-1)?.call ?? 0;
    agent.accept({ kind: "view-failed", call, failure: { kind: "unknown" } });
}

When("the worker does not answer a view call that extends the lease", () => {
    assert.notEqual(agent.listViewCalls().at(-1)?.leaseExpiresAt, undefined);
    failOpenView();
});

When("the worker does not answer the start of {string}, and answers the view that was asked for before", (
    job: string,
) => {
    agent.receiveStarts([createOrder(job)]);
    agent.accept({ kind: "start-answered", life: 1, run: createRun(job), outcome: "unknown" });
    answerOpenView(["a1", "a2"]);
});

Then("the next view call has a higher epoch and does not extend the lease", () => {
    const [former, next] = agent.listViewCalls().slice(-2);
    assert.ok(former !== undefined && next !== undefined && next.epoch > former.epoch);
    assert.equal(next.leaseExpiresAt, undefined);
});

Then("after its answer the lease is extended with that epoch", () => {
    answerOpenView(["a1", "a2"]);
    const [former, next] = agent.listViewCalls().slice(-2);
    assert.equal(next?.epoch, former?.epoch);
    assert.notEqual(next?.leaseExpiresAt, undefined);
});

When("the worker answers no view call for {int} ms", (milliseconds: number) => {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += stepMilliseconds) {
        failOpenView();
        agent.advance(stepMilliseconds);
        agent.receiveStarts([]);
    }
});

Then("the view calls had {int} epochs, and only the first one extended the lease", (epochs: number) => {
    const calls = listNew().filter(output => output.kind === "view");
    const open = agent.listViewCalls().find(({ call }) => call === (calls[0]?.call ?? 0) - 1);
    assert.ok(open !== undefined && calls.length > 10);
    assert.equal(new Set([open, ...calls].map(({ epoch }) => epoch)).size, epochs);
    assert.deepEqual(calls.filter(({ leaseExpiresAt }) => leaseExpiresAt !== undefined), []);
});

When("the worker does not answer a view call that extends the lease, just after the start of {string}", (
    job: string,
) => {
    agent.receiveStarts([createOrder(job)]);
    outputsBefore = agent.outputs.length;
    agent.advance(1);
    failOpenView();
});

When("the start of {string} is rejected for its epoch, and the worker answers the next view call", (job: string) => {
    agent.accept({ kind: "start-answered", life: 1, run: createRun(job), outcome: "outdated-epoch" });
    answerOpenView(["a1", "a2"]);
    agent.advance(200);
});

Then("{string} is reported as not started", (job: string) => {
    const ended = agent.outputs.flatMap(output => output.kind === "frame" ? output.frame.ended : []);
    assert.deepEqual(ended.filter(end => end.job === job).map(({ end }) => end), ["not-started"]);
});

Then("the entry was told all the while that the worker accepts tasks", () => {
    const frames = listNew().filter(output => output.kind === "frame");
    assert.ok(frames.length > 1);
    assert.ok(frames.every(({ frame }) => frame.worker?.acceptsTasks === true));
});
