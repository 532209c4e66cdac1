import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { EntryFrame } from "../model/frames.js";
import { AgentDriver, createOrder } from "./agentDriver.js";

const stepMilliseconds = 10;

const run = { job: "a000000000000001", task: 0, run: 1 };

const addresses = Array.from({ length: 12 }, (_, index) => `10.1.1.${index + 1}:7720`);

let agent = new AgentDriver(false);
let invited = "";
let partners: readonly string[] = [];
let framesBefore = 0;
let sequence = 0;

function receiveFrame(fields: Partial<EntryFrame> = {}, address = invited, entry = "entry-2"): void {
    sequence += 1;
    agent.accept({
        kind: "frame",
        address,
        frame: {
            entry,
            sequence,
            newestSentAt: agent.now,
            starts: [],
            stops: [],
            entryAddresses: [],
            configuration: { version: 1, configuration: undefined },
            ...fields,
        },
    });
}

function listFrames(): readonly (AgentDriver["outputs"][number] & { readonly kind: "frame" })[] {
    return agent.outputs.filter(output => output.kind === "frame" && output.address === invited)
        .filter(output => output.kind === "frame");
}

/** Lets the agent hear its partners; an entry would take the place of one that is silent. */
function hearPartners(): void {
    for (const address of partners) {
        receiveFrame({}, address, `entry at ${address}`);
    }
}

/** Lets time pass in which the worker answers views. */
function passTime(milliseconds: number, isHeard: boolean, isRunning: boolean): void {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += stepMilliseconds) {
        agent.advance(stepMilliseconds);
        hearPartners();
        if (isHeard) {
            receiveFrame();
        }
        const percent = Math.min(99, Math.round(elapsed / 30));
        agent.answerView({ running: isRunning ? [{ ...run, percent }] : [], ended: [] });
    }
}

function succeed(): void {
    agent.answerView({ running: [], ended: [{ ...run, sequence: 1, end: "succeeded" }] });
}

function invite(): void {
    agent.receiveStarts([], 0, { invitations: [{ address: invited, availabilityZone: "zone-1" }] });
}

Given("an agent with a run of an entry that has invited it", () => {
    agent = new AgentDriver(false);
    sequence = 0;
    agent.prepare("life-1");
    agent.accept({
        kind: "entries-found",
        entries: addresses.map(address => ({ address, availabilityZone: "zone-1" })),
    });
    partners = agent.outputs.flatMap(output => output.kind === "connect" ? [output.address] : []);
    partners.forEach(address => agent.accept({ kind: "connected", address }));
    hearPartners();
    const unused = addresses.find(address => !partners.includes(address));
    assert.ok(unused !== undefined);
    invited = unused;
    invite();
    agent.accept({ kind: "connected", address: invited });
    receiveFrame({ starts: [{ ...createOrder(run.job), estimatedMilliseconds: 3000 }] });
    agent.accept({ kind: "start-answered", life: 1, run, outcome: "accepted" });
    agent.answerView({ running: [{ ...run, percent: 1 }], ended: [] });
});

When("the connection to that entry breaks, and the attempt to connect again fails", () => {
    agent.accept({ kind: "disconnected", address: invited, wasRefused: false });
    agent.accept({ kind: "disconnected", address: invited, wasRefused: false });
});

When("the run succeeds, and the entry can be reached again {int} ms later", (milliseconds: number) => {
    succeed();
    framesBefore = listFrames().length;
    passTime(milliseconds, false, false);
    invite();
    agent.advance(stepMilliseconds);
    agent.accept({ kind: "connected", address: invited });
});

When(
    "the run succeeds {int} ms after its start, and that entry sends nothing for {int} ms",
    (runMilliseconds: number, silentMilliseconds: number) => {
        passTime(runMilliseconds, true, true);
        succeed();
        passTime(silentMilliseconds, false, false);
    },
);

When(
    "the run succeeds {int} ms after its start, and that entry is heard for {int} ms",
    (runMilliseconds: number, heardMilliseconds: number) => {
        passTime(runMilliseconds, true, true);
        succeed();
        passTime(heardMilliseconds, true, false);
    },
);

Then("the first frame to that entry says that the run has succeeded", () => {
    const first = listFrames()[framesBefore]?.frame;
    assert.ok(first?.openRuns !== undefined);
    assert.equal(first.entry, "entry-2");
    assert.deepEqual(first.ended.map(({ job, end }) => [job, end]), [[run.job, "succeeded"]]);
});

function isClosed(): boolean {
    return agent.outputs.some(output => output.kind === "disconnect" && output.address === invited);
}

Then("the agent has not closed the connection to that entry for want of use", () => assert.ok(!isClosed()));

Then("the agent has closed the connection to that entry for want of use", () => assert.ok(isClosed()));
