import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { AgentDriver, createOrder } from "./agentDriver.js";

const run = { job: "a1", task: 0, run: 1 };
const viewIntervalMilliseconds = 10;

let agent = new AgentDriver(false);
let earlierStops = 0;

function countStops(): number {
    return agent.outputs.filter(output => output.kind === "stop").length;
}

function countStarts(job: string): number {
    return agent.outputs.filter(output => output.kind === "start" && output.order.job === job).length;
}

function answerView(isListed: boolean): void {
    agent.answerView({ running: isListed ? [{ ...run, percent: 10 }] : [], ended: [] });
}

function confirmStop(): void {
    agent.accept({ kind: "stop-answered", life: 1, run, outcome: "accepted" });
}

Given("an agent that has ordered a start without an answer and revoked it", () => {
    agent = new AgentDriver(false);
    agent.prepare("life-1");
    agent.receiveStarts([createOrder(run.job)]);
    agent.advance(30);
    agent.accept({ kind: "start-answered", life: 1, run, outcome: "unknown" });
    agent.accept({ kind: "start-answered", life: 1, run, outcome: "unknown" });
    answerView(false);
    assert.equal(countStops(), 1);
    earlierStops = 1;
});

When("the worker confirms the stop, and the next view lists no run", () => {
    confirmStop();
    answerView(false);
    answerView(false);
    agent.advance(5);
    assert.deepEqual(agent.listReportedEnds(), ["not-started"]);
});

When("the worker confirms the stop, and views list the run for {int} ms", (milliseconds: number) => {
    confirmStop();
    for (let elapsed = 0; elapsed < milliseconds; elapsed += viewIntervalMilliseconds) {
        answerView(true);
        agent.advance(viewIntervalMilliseconds);
    }
});

When("the worker answers nothing for {int} ms", (milliseconds: number) => {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
        agent.advance(50);
        const call = agent.listViewCalls().at(-1)?.call ?? 0;
        agent.accept({ kind: "view-failed", call, failure: { kind: "unknown" } });
        agent.receiveStarts([]);
    }
    assert.ok(agent.listReportedEnds().length > 0, "the run was not given up");
    earlierStops = countStops();
});

When("a later view lists the run", () => {
    agent.advance(200);
    answerView(true);
});

Then("the run is ordered to stop again within {int} ms", (milliseconds: number) => {
    agent.advance(milliseconds);
    assert.ok(countStops() > earlierStops, "no further stop was ordered");
});

Then("the run is not ordered to stop again", () => assert.equal(countStops(), earlierStops));

Then("its end has not been reported", () => assert.deepEqual(agent.listReportedEnds(), []));

When("a frame orders a start and its stop", () => {
    agent.receiveStarts([createOrder("a2")], 0, { stops: [{ ...run, job: "a2" }] });
    agent.advance(10);
});

Then("that run is reported as not started, and no order was sent for it", () => {
    assert.deepEqual(agent.listReportedEnds(), ["not-started"]);
    assert.equal(countStarts("a2"), 0);
});

When("a start is ordered, and the zone is evacuated before it is answered", () => {
    agent.receiveStarts([createOrder("a2")]);
    agent.receiveStarts([], 0, { evacuations: { revision: 5, zones: ["zone-1"] } });
});

Then("{int} start order was sent for that run within {int} ms", (count: number, milliseconds: number) => {
    agent.advance(milliseconds);
    assert.equal(countStarts("a2"), count);
});
