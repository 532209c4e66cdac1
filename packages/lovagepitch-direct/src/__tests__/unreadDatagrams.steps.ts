import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { EntryInput } from "../entry/entryPorts.js";
import { ConnectedEntry, createJob } from "./connectedEntry.js";

const job = createJob("a1");
const from = { address: "10.1.0.2:7720", incarnation: "entry-2" };

let entry = new ConnectedEntry();
let datagrams: readonly EntryInput[] = [];

function createAnnouncement(id: string): EntryInput {
    return { kind: "ownership", message: { kind: "open-jobs", from, jobs: [[id, 1, 1400]] } };
}

Given("an entry with an idle worker and {int} datagrams of another entry", (count: number) => {
    entry = new ConnectedEntry();
    entry.connect("agent-1");
    entry.advance(300);
    datagrams = Array.from({ length: count }, (_, index) => createAnnouncement(`b${index}`));
});

When("a job and these datagrams are read in one turn", () => {
    entry.accept({ kind: "submitted", request: 1, job }, ...datagrams);
});

When("the announcement of the job is read in the next one", () => {
    entry.accept(createAnnouncement(job.id));
    entry.advance(40);
});

When("nothing is read in the next one", () => entry.accept());

When("as many are read in each turn for {int} ms", (milliseconds: number) => {
    const end = entry.clock.nowMilliseconds() + milliseconds;
    while (entry.clock.nowMilliseconds() < end) {
        entry.clock.advanceTo(entry.clock.nowMilliseconds() + 1);
        entry.accept(...datagrams);
    }
});

Then("no task of the job was started, and the other entry is asked for its release", () => {
    assert.deepEqual(entry.listStarts(job.id), []);
    const asked = entry.outputs.some(output => output.kind === "ownership" && output.message.kind === "release-job");
    assert.ok(asked);
});

Then("the task of the job was started", () => assert.equal(entry.listStarts(job.id).length, 1));
