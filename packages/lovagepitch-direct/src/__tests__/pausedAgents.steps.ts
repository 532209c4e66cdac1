import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { AgentOutput } from "../agent/agentPorts.js";
import type { StartOrder } from "../model/frames.js";
import { AgentDriver, createOrder } from "./agentDriver.js";

const job = "a1";
const run = { job, task: 0, run: 1 };
const largeRun = { ...run, job: "a2" };

/** More readings of the clock than one tick of these scenarios makes. */
const maximumReadings = 200;

let agent = new AgentDriver(false);
let outputsBefore = 0;
/** Outputs and start of each tick that was interrupted. */
let pausedTicks: { readonly startedAt: number; readonly outputs: readonly AgentOutput[] }[] = [];

function prepare(): void {
    agent = new AgentDriver(false);
    agent.prepare("life-1");
    agent.answerView({ running: [], ended: [] });
}

function createLargeOrder(): StartOrder {
    const { needs, ...order } = createOrder(largeRun.job);
    return { ...order, needs: { ...needs, milliCores: 16_000 } };
}

/** Occupies the whole worker, and queues an order for which there is no room. */
function queueOrder(mayWaitMilliseconds: number): void {
    agent.receiveStarts([createLargeOrder()]);
    agent.accept({ kind: "start-answered", life: 1, run: largeRun, outcome: "accepted" });
    agent.answerView({ running: [{ ...largeRun, percent: 10 }], ended: [] });
    agent.receiveStarts([{ ...createOrder(job), mayWaitMilliseconds }]);
    outputsBefore = agent.outputs.length;
}

/** The worker reports the end of the run that occupies it. */
function freeRoom(): void {
    agent.answerView({ running: [], ended: [{ ...largeRun, sequence: 1, end: "succeeded" }] });
}

/** Interrupts the tick of an event at each of its readings of the clock in turn. */
function interruptTick(milliseconds: number, prepareEvent: () => void, causeEvent: () => void): void {
    pausedTicks = [];
    for (let reading = 1; reading <= maximumReadings; reading += 1) {
        prepare();
        prepareEvent();
        const seen = agent.outputs.length;
        const startedAt = agent.now;
        agent.pauseAtReading(reading, milliseconds);
        causeEvent();
        pausedTicks.push({ startedAt, outputs: agent.outputs.slice(seen) });
        // The last tick is not interrupted; it shows that the event gives a permission at all.
        if (agent.now === startedAt) {
            break;
        }
    }
    assert.ok(pausedTicks.length > 1 && pausedTicks.length < maximumReadings);
}

function listNew(kind: AgentOutput["kind"]): readonly AgentOutput[] {
    return agent.outputs.slice(outputsBefore).filter(output => output.kind === kind);
}

Given("an agent with a worker and an entry", prepare);

When("the agent is paused for {int} ms at any reading of the clock in the tick that starts a task", (
    milliseconds: number,
) => {
    interruptTick(milliseconds, () => undefined, () => agent.receiveStarts([createOrder(job)]));
});

When("the agent is paused for {int} ms at any reading of the clock in the tick that starts a queued task", (
    milliseconds: number,
) => {
    interruptTick(milliseconds, () => queueOrder(5000), freeRoom);
});

When("the agent is paused for {int} ms at any reading of the clock in the tick that repeats a start", (
    milliseconds: number,
) => {
    interruptTick(
        milliseconds,
        () => {
            agent.receiveStarts([createOrder(job)]);
            agent.pause(100);
        },
        () => agent.accept({ kind: "disconnected", address: "unknown", wasRefused: false }),
    );
});

When("the agent is paused for {int} ms at any reading of the clock in the tick that receives a view with a run", (
    milliseconds: number,
) => {
    interruptTick(
        milliseconds,
        () => {
            agent.receiveStarts([createOrder(job)]);
            agent.accept({ kind: "start-answered", life: 1, run, outcome: "accepted" });
        },
        () => agent.answerView({ running: [{ ...run, percent: 10 }], ended: [] }),
    );
});

Then("no order or view call of that tick permits anything {int} ms after the tick began", (milliseconds: number) => {
    let permissions = 0;
    for (const { startedAt, outputs } of pausedTicks) {
        for (const output of outputs) {
            const until = output.kind === "start"
                ? output.latestStart
                : output.kind === "view"
                ? output.leaseExpiresAt
                : undefined;
            if (until !== undefined) {
                permissions += 1;
                // The worker's clock is that of the test.
                assert.ok(until <= startedAt + milliseconds, `${output.kind} until ${until - startedAt} ms`);
            }
        }
    }
    assert.ok(permissions > 0);
});

Given("an order of the entry that may wait {int} ms and for which there is no room", queueOrder);

When("the agent is paused for {int} ms, and the room is free in the first tick", (milliseconds: number) => {
    agent.pause(milliseconds);
    freeRoom();
    agent.advance(20);
});

Then("the queued order is reported as not started, and no start was ordered for it", () => {
    const ended = agent.outputs.flatMap(output => output.kind === "frame" ? output.frame.ended : []);
    assert.deepEqual(ended.filter(end => end.job === job).map(({ end }) => end), ["not-started"]);
    assert.deepEqual(listNew("start"), []);
});

Given("a start order of the entry without an answer", () => {
    agent.receiveStarts([createOrder(job)]);
    outputsBefore = agent.outputs.length;
});

Given("a run of the entry that the worker has listed", () => {
    agent.receiveStarts([createOrder(job)]);
    agent.accept({ kind: "start-answered", life: 1, run, outcome: "accepted" });
    agent.answerView({ running: [{ ...run, percent: 10 }], ended: [] });
    outputsBefore = agent.outputs.length;
});

When("the agent is paused for {int} ms, and the worker answers the view that was asked for before", (
    milliseconds: number,
) => {
    const workerClock = agent.now;
    agent.pause(milliseconds);
    agent.answerView({ workerClock, running: [{ ...run, percent: 10 }], ended: [] });
});

Then("no start was ordered again, and the run is ordered to stop", () => {
    assert.deepEqual(listNew("start"), []);
    assert.equal(listNew("stop").length, 1);
});

Then("the next view call does not extend the lease", () => {
    assert.deepEqual(listNew("view").map(output => output.kind === "view" && output.leaseExpiresAt), [undefined]);
});

Then("the next view call extends the lease by at most {int} ms on the worker's clock", (milliseconds: number) => {
    const [call] = listNew("view");
    assert.ok(call?.kind === "view" && call.leaseExpiresAt !== undefined);
    assert.ok(call.leaseExpiresAt <= agent.now + milliseconds);
});

Given("a view with the end of another run, after which the agent does not call the worker at once", () => {
    agent.receiveStarts([createLargeOrder()]);
    agent.accept({ kind: "start-answered", life: 1, run: largeRun, outcome: "accepted" });
    freeRoom();
    outputsBefore = agent.outputs.length;
});

When("the agent is paused for {int} ms, and then hears of the entry", (milliseconds: number) => {
    agent.pause(milliseconds);
    agent.receiveStarts([]);
});

When("the agent is paused for {int} ms, and then receives a start order", (milliseconds: number) => {
    agent.pause(milliseconds);
    agent.receiveStarts([createOrder(job)]);
});

Then("the start is permitted for at most {int} ms on the worker's clock", (milliseconds: number) => {
    const [start] = listNew("start");
    assert.ok(start?.kind === "start");
    assert.ok(start.latestStart <= agent.now + milliseconds, `${start.latestStart - agent.now} ms`);
});
