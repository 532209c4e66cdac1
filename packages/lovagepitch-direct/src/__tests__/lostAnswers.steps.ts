import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { OrderOutcome } from "../agent/agentPorts.js";
import { AgentDriver, createOrder } from "./agentDriver.js";

const worker = "life-1";
const run = { job: "a1", task: 0, run: 1 };

let agent = new AgentDriver(false);
let ticksWhileAdvancing = 0;

function answerStart(job: string, outcome: OrderOutcome): void {
    agent.accept({ kind: "start-answered", life: 1, run: { ...run, job }, outcome });
}

function countStarts(job: string): number {
    return agent.outputs.filter(output => output.kind === "start" && output.order.job === job).length;
}

Given("an agent with a worker that has answered no order yet", () => {
    agent = new AgentDriver(false);
    agent.prepare(worker);
});

Given(
    "an agent with a worker that has answered {int} orders after {int} ms each",
    (orders: number, milliseconds: number) => {
        agent = new AgentDriver(false);
        agent.prepare(worker);
        for (let index = 0; index < orders; index += 1) {
            const job = `b${index}`;
            agent.receiveStarts([createOrder(job)]);
            agent.advance(milliseconds);
            answerStart(job, "rejected");
        }
    },
);

When("a start order gets no answer for {int} ms", (milliseconds: number) => {
    agent.receiveStarts([createOrder(run.job)]);
    agent.advance(milliseconds);
});

When("the worker answers {string}", (outcome: string) => {
    answerStart(run.job, outcome as OrderOutcome);
});

When(/^the next view lists (the run as running|the run as succeeded|no run)$/, (what: string) => {
    agent.answerView({
        running: what === "the run as running" ? [{ ...run, percent: 10 }] : [],
        ended: what === "the run as succeeded" ? [{ ...run, sequence: 1, end: "succeeded" }] : [],
    });
});

When("{int} views get no answer", (count: number) => {
    for (let index = 0; index < count; index += 1) {
        const call = agent.listViewCalls().at(-1)?.call ?? 0;
        agent.accept({ kind: "view-failed", call, failure: { kind: "unknown" } });
    }
});

When("{int} ms pass for the agent's orders", (milliseconds: number) => {
    const earlier = agent.ticks;
    agent.advance(milliseconds);
    ticksWhileAdvancing = agent.ticks - earlier;
});

Then("the agent woke at most {int} times meanwhile", (maximum: number) => {
    assert.ok(ticksWhileAdvancing <= maximum, `${ticksWhileAdvancing} times`);
});

Then("the start order was sent {int} times", (times: number) => {
    assert.equal(countStarts(run.job), times);
});

Then(/^(no|a) stop order was sent$/, (expected: string) => {
    assert.equal(agent.outputs.some(output => output.kind === "stop"), expected === "a");
});

Then("no end was reported", () => {
    assert.deepEqual(agent.listReportedEnds(), []);
});

Then("the end {string} was reported", (end: string) => {
    agent.advance(10);
    assert.deepEqual(agent.listReportedEnds(), [end]);
});

Then(/^the agent (accepts|declines) a start order$/, (expected: string) => {
    agent.receiveStarts([createOrder("c1")]);
    assert.equal(countStarts("c1"), expected === "accepts" ? 1 : 0);
});

Then(/^the latest view call waits (\d+) ms and extends (no|the) lease$/, (wait: string, expected: string) => {
    const call = agent.listViewCalls().at(-1);
    assert.equal(call?.waitMilliseconds, Number(wait));
    assert.equal(call?.leaseExpiresAt !== undefined, expected === "the");
});
