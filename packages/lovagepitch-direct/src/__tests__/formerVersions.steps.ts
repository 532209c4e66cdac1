import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { isDeepStrictEqual } from "node:util";
import { type EndedRun, pickRunIdentity, type RunIdentity } from "../model/frames.js";
import { AgentDriver, createOrder, entryAddress } from "./agentDriver.js";
import { ConnectedEntry, createJob } from "./connectedEntry.js";

const formerAgent = "agent-1";
const job = createJob("00000000000000a1", { taskCount: 2, estimatedMilliseconds: 2000 });

/** Names of the runs of both tasks, as the former version forms them. */
const runs: readonly RunIdentity[] = [0, 1].map(task => ({ job: job.id, task, run: 1 }));

const agentRun = { job: "b1", task: 0, run: 1 };

let entry = new ConnectedEntry();
let request = 0;
let agent = new AgentDriver(false);

Given("an entry that runs both tasks of a job at an agent of the former version", () => {
    entry = new ConnectedEntry();
    entry.connect(formerAgent);
    request = entry.submit(job);
    assert.equal(entry.listStarts(job.id).length, 2);
    entry.connect("agent-2");
    entry.advance(100);
});

When(/^that agent connects again and lists (both runs|the run of task 0)$/, (listed: string) => {
    entry.disconnect(formerAgent);
    entry.connect(formerAgent, { openRuns: listed === "both runs" ? runs : runs.slice(0, 1) });
});

When("{int} ms pass for the entry", (milliseconds: number) => entry.advance(milliseconds));

function createEnds(end: EndedRun["end"]): readonly EndedRun[] {
    return runs.map(run => ({ ...run, end, ranMilliseconds: 100 }));
}

When("that agent reports the success of both runs", () => {
    entry.report(formerAgent, { ended: createEnds("succeeded") });
});

When("another agent of the former version connects and repeats the end {string} of both runs", (end: string) => {
    entry.connect("agent-3", { ended: createEnds(end as EndedRun["end"]) });
});

Then("no task was ordered again", () => assert.equal(entry.listStarts(job.id).length, 2));

Then("task 1 was ordered again", () => {
    assert.deepEqual(entry.listStarts(job.id).map(({ task, run }) => [task, run]), [[0, 1], [1, 1], [1, 2]]);
});

Then("the job of the former version's agent is done", () => {
    assert.equal(entry.findAnswer(request)?.kind, "done");
});

Then("the job of the former version's agent is open", () => assert.equal(entry.findAnswer(request), undefined));

When(
    /^the job's caller disconnects (while the agent is connected|before the agent connects again)$/,
    (when: string) => {
        if (when === "while the agent is connected") {
            entry.breakCaller(request, job.id);
        }
        else {
            entry.disconnect(formerAgent);
            entry.breakCaller(request, job.id);
            entry.advance(100);
            entry.connect(formerAgent, { openRuns: runs });
        }
    },
);

Then("that agent was told on its connection to stop both runs", () => {
    const stops = entry.listFrames(formerAgent).flatMap(frame => frame.stops);
    // The former version looks a run up by these fields and ignores others.
    const names = stops.map(stop => ({ job: stop.job, task: stop.task, run: stop.run }));
    // A stop may be sent twice.
    runs.forEach(run => assert.ok(names.some(name => isDeepStrictEqual(name, run)), `run ${run.task}`));
    assert.ok(names.every(name => runs.some(run => isDeepStrictEqual(name, run))));
});

Given("an agent that runs a task of an entry of the former version", () => {
    agent = new AgentDriver(false);
    agent.prepare("life-1");
    agent.receiveStarts([createOrder(agentRun.job)]);
    agent.accept({ kind: "start-answered", life: 1, run: agentRun, outcome: "accepted" });
    agent.answerView({ running: [{ ...agentRun, percent: 10 }], ended: [] });
    agent.advance(20);
});

When("that entry stops the run by the name that it ordered it by", () => {
    agent.receiveStarts([], 0, { stops: [agentRun] });
});

Then("the worker was told to stop the run", () => {
    const stops = agent.outputs.flatMap(output => output.kind === "stop" ? [output.run] : []);
    assert.deepEqual(stops, [agentRun]);
});

When("the worker lists the run as stopped", () => {
    agent.accept({ kind: "stop-answered", life: 1, run: agentRun, outcome: "accepted" });
    agent.answerView({ running: [], ended: [{ ...agentRun, sequence: 1, end: "stopped" }] });
    agent.advance(20);
});

Then("the end {string} was reported by the name that the run was ordered by", (end: string) => {
    const ends = agent.outputs.flatMap(output => output.kind === "frame" ? output.frame.ended : []);
    assert.deepEqual(ends.map(ended => ({ ...pickRunIdentity(ended), end: ended.end })), [{ ...agentRun, end }]);
});

When("the connection to that entry is replaced", () => {
    agent.accept({ kind: "disconnected", address: entryAddress, wasRefused: false });
    agent.advance(200);
    agent.accept({ kind: "connected", address: entryAddress });
    agent.advance(20);
});

Then("the agent's first frame lists the run by the name that it was ordered by", () => {
    const first = agent.outputs.flatMap(output => output.kind === "frame" ? [output.frame] : [])
        .filter(frame => frame.openRuns !== undefined).at(-1);
    assert.deepEqual(first?.openRuns, [agentRun]);
});
