import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { AgentDriver, createOrder } from "./agentDriver.js";

const worker = "life-1";
const run = { job: "a1", task: 0, run: 1 };

/** Time between two frames of the entry and between two failed calls, in milliseconds. */
const stepMilliseconds = 5;

let agent = new AgentDriver(false);
let callsBefore = 0;
let elapsedMilliseconds = 0;

Given(/^an agent whose view has reported (an|no) end$/, (end: string) => {
    agent = new AgentDriver(false);
    agent.prepare(worker);
    agent.receiveStarts([createOrder(run.job)]);
    agent.accept({ kind: "start-answered", life: 1, run, outcome: "accepted" });
    callsBefore = agent.listViewCalls().length;
    elapsedMilliseconds = 0;
    agent.answerView(
        end === "an"
            ? { running: [], ended: [{ ...run, sequence: 1, end: "succeeded" }] }
            : { running: [{ ...run, percent: 10 }], ended: [] },
    );
});

Then(/^(no|a) view call is sent within (\d+) ms$/, (expected: string, milliseconds: string) => {
    agent.advance(Number(milliseconds) - elapsedMilliseconds);
    elapsedMilliseconds = Number(milliseconds);
    assert.equal(agent.listViewCalls().length - callsBefore, expected === "a" ? 1 : 0);
});

Given(
    "an agent whose view call gets no answer for {int} ms and which then orders another start",
    (milliseconds: number) => {
        agent = new AgentDriver(false);
        agent.prepare(worker);
        agent.receiveStarts([createOrder(run.job)]);
        agent.accept({ kind: "start-answered", life: 1, run, outcome: "accepted" });
        agent.answerView({ running: [{ ...run, percent: 10 }], ended: [] });
        for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
            agent.advance(stepMilliseconds);
            agent.receiveStarts([]);
        }
        agent.receiveStarts([createOrder("b1")]);
    },
);

When("its calls fail for {int} ms", (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
        const call = agent.listViewCalls().at(-1)?.call ?? 0;
        agent.accept({ kind: "view-failed", call, failure: { kind: "unknown" } });
        agent.receiveStarts([]);
        agent.advance(stepMilliseconds);
    }
});

Then("no run of the silent worker has been reported as lost", () => {
    assert.deepEqual(agent.listReportedEnds(), []);
});

Then("{int} runs of the silent worker have been reported as lost", (count: number) => {
    assert.deepEqual(agent.listReportedEnds(), Array.from({ length: count }, () => "lost"));
});
