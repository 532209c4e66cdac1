import { Given, Then, When } from "@cucumber/cucumber";
import { ManualClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import assert from "node:assert/strict";
import { EntryCore } from "../entry/entryCore.js";
import type { EntryOutput } from "../entry/entryPorts.js";
import { AgentDriver, createOrder, entryAddress } from "./agentDriver.js";

/** Spare time of the job: its allowance and 0.6 times its run time, in milliseconds. */
const spareMilliseconds = 108;

let agent = new AgentDriver(false);
let clock = new ManualClock(1_000_000);
let entry = createEntry();
let outputs: readonly EntryOutput[] = [];

function createEntry(): EntryCore {
    const identity = { incarnation: "entry-1", instance: "front-1", availabilityZone: "zone-1", address: entryAddress };
    return new EntryCore(identity, clock, new RandomSource(1));
}

Given(/^an agent with a worker and (without runs|one run)$/, (runs: string) => {
    agent = new AgentDriver(false);
    agent.prepare("life-1");
    if (runs === "one run") {
        agent.receiveStarts([createOrder("a1")]);
        agent.accept({
            kind: "start-answered",
            life: 1,
            run: { job: "a1", task: 0, run: 1 },
            outcome: "accepted",
        });
    }
});

Given("an entry without jobs", () => {
    clock = new ManualClock(1_000_000);
    entry = createEntry();
    entry.tick();
});

Given("an entry with a job that waits for a worker", () => {
    clock = new ManualClock(1_000_000);
    entry = createEntry();
    entry.accept({
        kind: "submitted",
        request: 1,
        job: {
            id: "00000000000000a1",
            route: "route-a",
            service: "drives",
            priority: 0,
            specification: "",
            taskCount: 2,
            needs: { milliCores: 1000, memoryMegabytes: 64, accelerators: 0 },
            estimatedMilliseconds: 80,
            requiredLabel: undefined,
            maximumPerWorker: 100,
            stretch: 1.6,
            allowanceMilliseconds: 60,
            maximumAttempts: 3,
            callerWaitMilliseconds: 1500,
        },
    });
    entry.tick();
});

When("the job's latest start has passed", () => {
    clock.advanceTo(clock.nowMilliseconds() + spareMilliseconds + 1);
    outputs = entry.tick();
});

Then(/^it wakes at (least|most) (\d+) times within 1000 ms$/, (bound: string, times: string) => {
    const earlier = agent.ticks;
    agent.advance(1000);
    const ticks = agent.ticks - earlier;
    assert.ok(bound === "least" ? ticks >= Number(times) : ticks <= Number(times), `${ticks} times`);
});

Then(/^its next wake is at (least|most) (\d+) ms away$/, (bound: string, milliseconds: string) => {
    const away = (entry.nextWakeAtMilliseconds() ?? 0) - clock.nowMilliseconds();
    assert.ok(bound === "least" ? away >= Number(milliseconds) : away <= Number(milliseconds), `${away} ms`);
});

Then("the job is refused, and the log line says that no task fitted and no core was free", () => {
    const answer = outputs.find(output => output.kind === "answer");
    const line = outputs.find(output => output.kind === "log" && output.event === "job answered");
    assert.equal(answer?.answer.kind, "refused");
    assert.ok(line?.kind === "log");
    assert.equal(line.fields["fittingTasks"], 0);
    assert.equal(line.fields["freeMilliCores"], 0);
});
