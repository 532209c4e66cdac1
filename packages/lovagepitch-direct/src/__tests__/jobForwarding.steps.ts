import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { JobAnswer, RefusalReason } from "../model/directJob.js";
import type { ForwardedAnswer, ForwardedSubmission, ForwardingFrame, ForwardingReply } from "../model/forwarding.js";
import { createEntryPolicies } from "../policies/entryPolicies.js";
import { ConnectedEntry, createJob } from "./connectedEntry.js";
import { FixedForwarding } from "./fixedForwarding.js";

const otherEntry = { address: "10.1.0.2:7720", incarnation: "entry-2" };
const thirdAddress = "10.1.0.3:7720";
const inboundConnection = 500;
const stepMilliseconds = 20;

let policy = new FixedForwarding(1);
let entry = new ConnectedEntry();
let requests: number[] = [];
let nextNumber = 1;

function listSubmissions(job: string): readonly ForwardedSubmission[] {
    return listFrames().flatMap(({ submissions }) => submissions).filter(submission => submission.job.id === job);
}

function listFrames(): readonly ForwardingFrame[] {
    return entry.outputs.flatMap(output => output.kind === "forwarding-frame" ? [output.frame] : []);
}

function listReplies(): readonly ForwardingReply[] {
    return entry.outputs.flatMap(output => output.kind === "forwarding-reply" ? [output.reply] : []);
}

function reply(answers: readonly ForwardedAnswer[], fields: Partial<ForwardingReply> = {}): void {
    entry.accept({
        kind: "forwarding-reply",
        address: otherEntry.address,
        reply: {
            kind: "forwarding-reply",
            from: otherEntry,
            sentAt: 0,
            load: 0,
            acceptsSubmissions: true,
            configurationVersion: 0,
            answers,
            ...fields,
        },
    });
}

function answer(job: string, jobAnswer: JobAnswer | undefined, index = -1): void {
    const submission = listSubmissions(job).at(index);
    assert.ok(submission);
    reply([{ number: submission.number, job, answer: jobAnswer }]);
}

function start(share: number): void {
    policy = new FixedForwarding(share);
    entry = new ConnectedEntry("entry-1", { ...createEntryPolicies(), jobForwarding: policy });
    requests = [];
    nextNumber = 1;
    entry.connect("agent-1");
    entry.accept({ kind: "entries-found", entries: [{ address: otherEntry.address, availabilityZone: "zone-1" }] });
}

Given("an entry that passes all new jobs on, with an idle worker", () => {
    start(1);
    // Jobs may be passed on once the connection is open and the other entry has replied.
    reply([]);
    entry.advance(100);
    reply([]);
});

Given("an entry that takes jobs of others, with an idle worker", () => {
    start(0);
    entry.advance(100);
});

Given("an entry that is short of processor time, with a full worker", () => {
    start(0);
    policy.isShort = true;
    entry.isFull = true;
    entry.advance(100);
});

Given("it knows a third entry", () => {
    entry.accept({ kind: "entries-found", entries: [{ address: thirdAddress, availabilityZone: "zone-1" }] });
});

Given("the other entry takes no jobs", () => {
    reply([], { acceptsSubmissions: false });
});

Given("the other entry has another configuration", () => {
    reply([], { configurationVersion: 2 });
});

Given("job {string} was open here before", (job: string) => {
    policy.share = 0;
    const request = entry.submit(createJob(job));
    entry.breakCaller(request, job);
    const [run] = entry.listStarts(job);
    assert.ok(run);
    entry.reportEnd("agent-1", run, "stopped");
    entry.outputs.length = 0;
    policy.share = 1;
});

Given("another entry has announced job {string}", (job: string) => {
    const jobs = [[job, 7, 1200]] as const;
    entry.accept({ kind: "ownership", message: { kind: "open-jobs", from: otherEntry, jobs } });
    const released = {
        kind: "job-released",
        from: otherEntry,
        job,
        owner: otherEntry.incarnation,
        ownerSubmission: 7,
        asker: "entry-1",
        mayHaveStarted: false,
        owners: [],
    } as const;
    requests.push(entry.submit(createJob(job)));
    const asked = entry.outputs.flatMap(output => {
        return output.kind === "ownership" && output.message.kind === "release-job" ? [output.message] : [];
    });
    const askerSubmission = asked[0]?.askerSubmission ?? 0;
    entry.accept({ kind: "ownership", message: { ...released, askerSubmission } });
});

When(/^job "(\w+)" is submitted(?: again)?$/, (job: string) => {
    requests.push(entry.submit(createJob(job)));
});

When("job {string} is submitted again while memory is full", (job: string) => {
    requests.push(entry.submit(createJob(job), true));
});

When("another job {string} is submitted", (job: string) => {
    requests.push(entry.submit(createJob(job, { specification: "other work" })));
});

When("job {string} is submitted and its caller leaves in the same tick", (job: string) => {
    entry.enqueue({ kind: "submitted", request: 900, job: createJob(job) });
    entry.accept({ kind: "caller-disconnected", request: 900, job });
});

When("its caller leaves", () => {
    entry.breakCaller(requests.at(-1) ?? 0, "a");
});

When("job {string} is cancelled", (job: string) => {
    entry.accept({ kind: "cancelled", job, route: "route-a" });
});

When("the other entry answers job {string} as {string}", (job: string, kind: "done") => answer(job, { kind }));

When("the other entry answers the first submission of job {string} as {string}", (job: string, kind: "done") => {
    answer(job, { kind }, 0);
});

When("the other entry declines job {string}", (job: string) => answer(job, undefined));

When("the other entry refuses job {string} because of {string}", (job: string, reason: RefusalReason) => {
    answer(job, { kind: "refused", reason, retryAfterSeconds: 1 });
});

When("the connection to the other entry ends", () => {
    entry.accept({ kind: "entry-disconnected", address: otherEntry.address });
});

When("{int} ms pass without a reply", (milliseconds: number) => entry.advance(milliseconds));

When("the entry is told to interrupt its jobs", () => {
    entry.accept({ kind: "shut-down" });
    entry.accept({ kind: "interrupt" });
});

When("it has enough processor time", () => {
    policy.isShort = false;
});

function receiveFrame(fields: Partial<ForwardingFrame>, age: number): void {
    entry.accept({
        kind: "forwarding-frame",
        connection: inboundConnection,
        frame: {
            kind: "forwarding",
            from: otherEntry,
            newestSentAt: entry.clock.nowMilliseconds() - age,
            heldMilliseconds: 0,
            configurationVersion: 0,
            submissions: [],
            withdrawals: [],
            cancellations: [],
            ...fields,
        },
    });
}

When("another entry passes job {string} on, {int} ms after its last reply", (job: string, age: number) => {
    receiveFrame({ submissions: [{ number: nextNumber, ageMilliseconds: 0, job: createJob(job) }] }, age);
    nextNumber += 1;
});

When("another entry passes job {string} on, which it may have received {int} ms ago", (job: string, age: number) => {
    receiveFrame(
        { submissions: [{ number: nextNumber, ageMilliseconds: age, job: createJob(job) }] },
        stepMilliseconds,
    );
    nextNumber += 1;
});

When("another entry passes job {string} on, whose caller waits for {int} ms, after {int} ms", (
    id: string,
    callerWaitMilliseconds: number,
    ageMilliseconds: number,
) => {
    const job = createJob(id, { callerWaitMilliseconds });
    receiveFrame({ submissions: [{ number: nextNumber, ageMilliseconds, job }] }, 0);
});

When("it has no time to spare any more", () => {
    policy.acceptsJobs = false;
});

When("the task of job {string} succeeds", (job: string) => {
    const [run] = entry.listStarts(job);
    assert.ok(run);
    entry.reportEnd("agent-1", run, "succeeded");
});

When("the entry that has passed it on closes the connection", () => {
    entry.accept({ kind: "disconnected", connection: inboundConnection });
});

When("the entry that has passed it on says nothing for {int} ms", (milliseconds: number) => {
    entry.advance(milliseconds);
    assert.ok(entry.outputs.some(output => output.kind === "close-connection"));
});

When("the entry that has passed it on withdraws the submission", () => {
    receiveFrame({ withdrawals: [{ number: 1, job: "a", isInterrupted: false }] }, stepMilliseconds);
});

When("the entry that has passed it on cancels the job", () => {
    receiveFrame({ cancellations: [{ job: "a", route: "route-a" }] }, stepMilliseconds);
});

Then("the other entry was sent job {string}", (job: string) => assert.equal(listSubmissions(job).length, 1));

Then("the other entry was sent job {string} once", (job: string) => assert.equal(listSubmissions(job).length, 1));

Then("the other entry was not sent job {string}", (job: string) => assert.deepEqual(listSubmissions(job), []));

Then("no task of job {string} was started here", (job: string) => assert.deepEqual(entry.listStarts(job), []));

Then("a task of job {string} was started here", (job: string) => {
    assert.equal(entry.listStarts(job).length, 1);
    assert.deepEqual(listSubmissions(job).slice(1), []);
});

Then("job {string} was started instead", (job: string) => assert.equal(entry.listStarts(job).length, 1));

Then(/^job "\w+" was refused$/, () => assert.equal(entry.findAnswer(requests[0] ?? 0)?.kind, "refused"));

Then("the caller of job {string} was told {string}", (_job: string, kind: string) => {
    assert.equal(entry.findAnswer(requests[0] ?? 0)?.kind, kind);
});

Then("the caller of the other job {string} was told {string}", (_job: string, kind: string) => {
    assert.equal(entry.findAnswer(requests[2] ?? 0)?.kind, kind);
});

Then("both callers of job {string} were told {string}", (_job: string, kind: string) => {
    assert.deepEqual(requests.slice(0, 2).map(request => entry.findAnswer(request)?.kind), [kind, kind]);
});

Then(/^the latest caller of job "\w+" has no answer$/, () => {
    assert.equal(entry.findAnswer(requests.at(-1) ?? 0), undefined);
});

function assertWithdrawn(job: string, isInterrupted: boolean): void {
    const number = listSubmissions(job)[0]?.number;
    assert.deepEqual(listFrames().flatMap(frame => frame.withdrawals), [{ number, job, isInterrupted }]);
}

Then("job {string} was withdrawn", (job: string) => assertWithdrawn(job, false));

Then("job {string} was withdrawn as interrupted", (job: string) => assertWithdrawn(job, true));

Then("the other entry was asked to release job {string}", (job: string) => {
    assert.ok(entry.outputs.some(output => {
        return output.kind === "ownership" && output.address === otherEntry.address
            && output.message.kind === "release-job" && output.message.job === job;
    }));
});

Then("job {string} is described as {string}", (job: string, progress: string) => {
    assert.equal(entry.describeJob(job, "route-a"), progress);
});

Then("the other entry was told to cancel job {string}", (job: string) => {
    const cancellations = listFrames().flatMap(frame => frame.cancellations);
    assert.deepEqual(cancellations, [{ job, route: "route-a" }]);
});

function countCapacityRequests(): number {
    return entry.outputs.filter(output => output.kind === "request-capacity").length;
}

Then("no other entry was asked for agents", () => assert.equal(countCapacityRequests(), 0));

Then("other entries were asked for agents", () => assert.ok(countCapacityRequests() > 0));

Then("the reply has the answer {string} to job {string}", (kind: string, job: string) => {
    const answers = listReplies().flatMap(({ answers: all }) => all);
    assert.deepEqual(answers.map(other => [other.number, other.job, other.answer?.kind]), [[1, job, kind]]);
});

Then("the reply has no answer to job {string}", (job: string) => {
    assert.deepEqual(listReplies().flatMap(({ answers }) => answers).filter(other => other.job === job), []);
});

Then("job {string} was declined", (job: string) => {
    const answers = listReplies().flatMap(({ answers: all }) => all).filter(other => other.job === job);
    assert.deepEqual(answers.map(other => other.answer), [undefined]);
});

Then("job {string} was not declined", (job: string) => {
    assert.deepEqual(listReplies().flatMap(({ answers: all }) => all).filter(other => other.job === job), []);
});

Then("the connection of the other entry was closed", () => {
    assert.ok(entry.outputs.some(output => output.kind === "close-connection"));
});

Then("job {string} was stopped here", (job: string) => {
    const stops = entry.outputs.flatMap(output => output.kind === "frame" ? output.frame.stops : []);
    assert.ok(stops.some(stop => stop.job === job));
});

Then("the third entry was asked for job {string}", (job: string) => {
    assert.ok(entry.outputs.some(output => {
        return output.kind === "ownership" && output.address === thirdAddress
            && output.message.kind === "inquire-jobs" && output.message.jobs.some(([id]) => id === job);
    }));
});
