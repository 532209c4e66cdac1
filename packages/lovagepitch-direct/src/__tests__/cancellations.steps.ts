import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { ConnectedEntry, createJob } from "./connectedEntry.js";

const job = createJob("a1");

let entry = new ConnectedEntry();
let wasKnown = false;

function cancel(route: string): void {
    wasKnown = entry.describeJob(job.id, route) !== undefined;
    entry.enqueue({ kind: "cancelled", job: job.id, route });
}

function submit(): void {
    entry.enqueue({ kind: "submitted", request: 1, job });
}

function readAndPass(): void {
    entry.accept();
    entry.advance(100);
}

function listAnswers(): readonly string[] {
    return entry.outputs.flatMap(output => output.kind === "answer" ? [output.answer.kind] : []);
}

Given("an entry with an idle worker that reads requests every 20 ms", () => {
    entry = new ConnectedEntry();
    entry.connect("agent-1");
    entry.advance(100);
});

When("a job and its cancellation are read in one turn", () => {
    submit();
    cancel(job.route);
    readAndPass();
});

When("the entry is frozen for {int} ms, and reads the cancellation of a job before the job", (milliseconds: number) => {
    entry.clock.advanceTo(entry.clock.nowMilliseconds() + milliseconds);
    cancel(job.route);
    submit();
    readAndPass();
});

When("a job and the cancellation of a job of its id on another route are read in one turn", () => {
    submit();
    cancel("route-b");
    readAndPass();
});

When("a cancellation of an unknown job is read, and the job is submitted {int} ms later", (milliseconds: number) => {
    cancel(job.route);
    entry.accept();
    entry.advance(milliseconds);
    submit();
    readAndPass();
});

Then("the job is known to the cancellation, answered as cancelled, and not started", () => {
    assert.ok(wasKnown);
    assert.deepEqual(listAnswers(), ["cancelled"]);
    assert.equal(entry.listStarts(job.id).length, 0);
});

Then("the job is answered as cancelled, and not started", () => {
    assert.deepEqual(listAnswers(), ["cancelled"]);
    assert.equal(entry.listStarts(job.id).length, 0);
});

Then("the job is not known to the cancellation, and started", () => {
    assert.ok(!wasKnown);
    assert.deepEqual(listAnswers(), []);
    assert.equal(entry.listStarts(job.id).length, 1);
});
