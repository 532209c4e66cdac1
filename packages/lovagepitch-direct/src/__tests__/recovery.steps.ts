import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { AgentDriver, createRegistration, createReport, entryAddress } from "./agentDriver.js";

/** Part of the epoch that the incarnation of the driven process determines. */
const processPart = 244;

let agent = new AgentDriver(false);

function countConnects(): number {
    return agent.outputs.filter(output => output.kind === "connect").length;
}

Given(
    /^an agent that knows an entry (without power|whose process is starting)$/,
    (state: string) => {
        agent = new AgentDriver(state !== "without power");
        agent.accept({ kind: "entries-found", entries: [{ address: entryAddress, availabilityZone: "zone-1" }] });
    },
);

Given("an agent that has restored a worker", () => {
    agent = new AgentDriver(true);
    agent.accept({ kind: "worker-restored", registration: createRegistration("life-1") });
});

Given("an agent whose worker {string} has reported", (id: string) => {
    agent = new AgentDriver(true);
    reportWorker(id);
});

When("worker {string} reports", reportWorker);

function reportWorker(id: string): void {
    agent.accept({ kind: "worker-reported", report: createReport(id) });
}

When("{int} s pass for the agent", (seconds: number) => {
    agent.advance(seconds * 1000);
});

When("the worker answers the first view call, and its clock shows {int} ms", (workerClock: number) => {
    const [first] = agent.listViewCalls();
    assert.ok(first);
    agent.accept({ kind: "view", call: first.call, view: { workerClock, running: [], ended: [] } });
});

When("the agent restores worker {string}", (id: string) => {
    agent.accept({ kind: "worker-restored", registration: createRegistration(id) });
    agent.advance(100);
});

Then(
    /^it tries to connect at (least|most) (\d+) times within 1 s$/,
    (bound: string, times: string) => {
        const earlier = countConnects();
        agent.advance(1000);
        const connects = countConnects() - earlier;
        assert.ok(bound === "least" ? connects >= Number(times) : connects <= Number(times), `${connects} attempts`);
    },
);

Then("the next view call has the epoch of clock unit {int} and the first one extended no lease", (unit: number) => {
    const [first, second] = agent.listViewCalls();
    assert.equal(first?.leaseExpiresAt, undefined);
    // The rest of the epoch is the process's own part.
    assert.equal(second?.epoch, unit * 1024 + processPart);
});

Then("it calls only worker {string}", (id: string) => {
    assert.deepEqual([...new Set(agent.listViewCalls().map(call => call.worker))], [id]);
});

Then("the latest view call is for worker {string}", (id: string) => {
    assert.equal(agent.listViewCalls().at(-1)?.worker, id);
});

When("the worker answers as another incarnation", () => {
    const call = agent.listViewCalls().at(-1)?.call ?? 0;
    agent.accept({ kind: "view-failed", call, failure: { kind: "other-incarnation" } });
    agent.advance(100);
});

When("worker {string} reports that it drains", (id: string) => {
    agent.accept({ kind: "worker-reported", report: { ...createReport(id), isDraining: true, sequence: 4 } });
});

Then("the agent has recorded nothing", () => {
    assert.deepEqual(agent.outputs.filter(output => output.kind === "worker-changed"), []);
});

Then("the latest record of the agent names no worker", () => {
    const records = agent.outputs.filter(output => output.kind === "worker-changed");
    assert.equal(records.at(-1)?.registration, undefined);
    assert.equal(records.length, 2);
});

let nextSequence = 10;

When("the worker reports {int} cores", (cores: number) => {
    const report = createReport("life-1");
    nextSequence += 1;
    agent.accept({
        kind: "worker-reported",
        report: { ...report, capacity: { ...report.capacity, milliCores: cores * 1000 }, sequence: nextSequence },
    });
});

Then("the latest record of the agent has {int} cores", (cores: number) => {
    const records = agent.outputs.filter(output => output.kind === "worker-changed");
    assert.equal(records.at(-1)?.registration?.capacity.milliCores, cores * 1000);
});
