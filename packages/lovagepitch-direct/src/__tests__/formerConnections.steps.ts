import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { pickRunIdentity } from "../model/frames.js";
import { AgentDriver, createOrder, entryAddress } from "./agentDriver.js";
import { EntryDriver } from "./entryDriver.js";

const job = "a000000000000001";

let entry = new EntryDriver();
let agent = new AgentDriver(false);
let framesBefore = 0;

Given(
    "an entry that has placed a task at agent {string} on connection {int}",
    (name: string, connection: number) => {
        entry = new EntryDriver();
        entry.receiveFrame(name, connection, { openRuns: [] });
        entry.submit(job);
        assert.equal(entry.listStarts().length, 1);
        entry.advance(5);
    },
);

When(
    "the first frame of connection {int}, which agent {string} sent {int} ms before, arrives",
    (connection: number, name: string, milliseconds: number) => {
        entry.receiveFrame(name, connection, { openRuns: [], sentAt: entry.clock.nowMilliseconds() - milliseconds });
    },
);

When(
    "{int} ms pass for the entry with frames of agent {string} on connection {int}",
    (milliseconds: number, name: string, connection: number) => {
        for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
            entry.advance(50);
            entry.receiveFrame(name, connection, { includedSequence: 1 });
        }
    },
);

When(
    "agent {string} connects again with the success of a run of the same number, for entry process {string}",
    (name: string, process: string) => {
        const order = entry.listStarts()[0]?.order;
        assert.ok(order);
        const ended = { ...pickRunIdentity(order), end: "succeeded" as const, ranMilliseconds: 100 };
        entry.receiveFrame(name, 3, { openRuns: [], ended: [ended], entry: process });
        entry.advance(50);
    },
);

Then(/^the entry has sent (\d+) start orders?$/, (count: string) => {
    assert.equal(entry.listStarts().length, Number(count));
});

Then("it has sent frames on connection {int} only", (connection: number) => {
    const connections = entry.outputs.flatMap(output => output.kind === "frame" ? [output.connection] : []);
    assert.deepEqual([...new Set(connections)], [connection]);
});

Then("no caller was answered", () => {
    assert.deepEqual(entry.listAnswers(), []);
});

Given("an agent with a run of entry process {string} that connects again", (process: string) => {
    agent = new AgentDriver(false);
    agent.prepare("life-1");
    agent.receiveStarts([createOrder(job)]);
    const frame = agent.outputs.find(output => output.kind === "start");
    assert.ok(frame !== undefined && process === "entry-1");
    agent.accept({ kind: "start-answered", life: 1, run: { job, task: 0, run: 1 }, outcome: "accepted" });
    agent.accept({ kind: "disconnected", address: entryAddress, wasRefused: false });
    agent.accept({ kind: "connected", address: entryAddress });
});

When("the run ends before the first frame of the entry arrives", () => {
    agent.answerView({ running: [], ended: [{ job, task: 0, run: 1, sequence: 1, end: "succeeded" }] });
    framesBefore = agent.outputs.length;
});

When("the first frame comes from entry process {string}", (process: string) => {
    agent.accept({
        kind: "frame",
        address: entryAddress,
        frame: {
            entry: process,
            sequence: 1,
            newestSentAt: 1_000_000,
            starts: [],
            stops: [],
            entryAddresses: [],
            configuration: { version: 1, configuration: undefined },
        },
    });
    agent.advance(300);
});

Then("no end was reported to the successor", () => {
    const ends = agent.outputs.slice(framesBefore).flatMap(output => output.kind === "frame" ? output.frame.ended : []);
    assert.deepEqual(ends, []);
});

Given(
    /^an agent whose run has ended, which entry process "entry-1" has (not confirmed|confirmed)$/,
    (state: string) => {
        agent = new AgentDriver(false);
        agent.prepare("life-1");
        agent.receiveStarts([createOrder(job)]);
        agent.accept({ kind: "start-answered", life: 1, run: { job, task: 0, run: 1 }, outcome: "accepted" });
        agent.answerView({ running: [], ended: [{ job, task: 0, run: 1, sequence: 1, end: "succeeded" }] });
        agent.advance(20);
        agent.receiveStarts([], state === "confirmed" ? 0 : 100);
    },
);

When("{int} ms pass and the agent connects again", (milliseconds: number) => {
    agent.accept({ kind: "disconnected", address: entryAddress, wasRefused: false });
    agent.advance(milliseconds);
    framesBefore = agent.outputs.length;
    agent.accept({ kind: "connected", address: entryAddress });
    agent.advance(5);
});

Then("its first frame repeats {int} ends", (count: number) => {
    const frames = agent.outputs.slice(framesBefore).flatMap(output => output.kind === "frame" ? [output.frame] : []);
    assert.equal(frames[0]?.ended.length, count);
});
