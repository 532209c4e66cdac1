import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { OrderedJobs } from "../policies/orderedJobs.js";
import { ConnectedEntry, createJob } from "./connectedEntry.js";

const job = createJob("00000000000000a1");

/** Number of open jobs at which an entry refuses further ones. */
const mostOpenJobs = 4000;

let entry = new ConnectedEntry();
let resubmission = 0;

/** Agents by number, as they are connected. */
const agents = ["agent-1", "agent-2"];

function findAgent(): string {
    const placed = entry.outputs.find(output => output.kind === "frame" && output.frame.starts.length > 0);
    assert.ok(placed?.kind === "frame");
    // Connections are numbered from 1 in the order of the agents.
    return agents[placed.connection - 1] ?? "";
}

/** First submissions by how they end. */
const firstSubmissions: Readonly<Record<string, (request: number) => void>> = {
    "lost its caller while it ran": request => entry.breakCaller(request, job.id),
    "lost its caller after a run was stopped": request => {
        entry.reportEnd(findAgent(), { job: job.id, task: 0, run: 1 }, "stopped");
        entry.breakCaller(request, job.id);
    },
    "lost its caller after all orders were returned": request => {
        entry.isFull = true;
        entry.advance(100);
        entry.reportEnd(findAgent(), { job: job.id, task: 0, run: 1 }, "not-started");
        entry.breakCaller(request, job.id);
    },
    "lost its caller before a task was placed": request => entry.breakCaller(request, job.id),
    "was done": request => {
        entry.reportEnd(findAgent(), { job: job.id, task: 0, run: 1 }, "succeeded");
        assert.equal(entry.findAnswer(request)?.kind, "done");
    },
    "failed": request => {
        for (let run = 1; run <= job.maximumAttempts; run += 1) {
            agents.forEach(agent => entry.reportEnd(agent, { job: job.id, task: 0, run }, "failed"));
            entry.advance(100);
        }
        assert.equal(entry.findAnswer(request)?.kind, "failed");
    },
    "was cancelled while it ran": request => {
        entry.accept({ kind: "cancelled", job: job.id, route: job.route });
        assert.equal(entry.findAnswer(request)?.kind, "cancelled");
    },
    "was refused": request => {
        entry.advance(1000);
        assert.equal(entry.findAnswer(request)?.kind, "refused");
    },
};

const startsNothing: ReadonlySet<string> = new Set(["lost its caller before a task was placed", "was refused"]);

/** Causes of refusals, before and after the job is sent again. */
const causes: Readonly<
    Record<string, { readonly before?: () => void; readonly after?: () => void; readonly isMemoryFull?: boolean }>
> = {
    "the workers have no room": {
        before: () => {
            entry.isFull = true;
            entry.advance(100);
        },
    },
    "no worker is left": { before: () => agents.forEach(agent => entry.disconnect(agent)) },
    "the entry refuses new jobs": { before: () => entry.accept({ kind: "shut-down" }) },
    "the entry's memory is full": { isMemoryFull: true },
    "the entry has the most jobs": {
        before: () => {
            entry.isFull = true;
            entry.advance(100);
            entry.accept(...Array.from({ length: mostOpenJobs }, (_, index) => ({
                kind: "submitted" as const,
                request: -index - 1,
                job: createJob(`other-${index}`),
            })));
        },
    },
    "the entry ends its jobs": {
        before: () => {
            entry.isFull = true;
            entry.advance(100);
        },
        after: () => entry.accept({ kind: "interrupt" }),
    },
};

Given("an entry with 2 workers, where a job {}", (first: string) => {
    entry = new ConnectedEntry();
    entry.isFull = startsNothing.has(first);
    agents.forEach(agent => entry.connect(agent));
    const request = entry.submit(job);
    assert.equal(entry.listStarts(job.id).length, entry.isFull ? 0 : 1);
    firstSubmissions[first]?.(request);
});

When("the job is sent again after {int} ms, and {}", (milliseconds: number, cause: string) => {
    entry.advance(milliseconds);
    causes[cause]?.before?.();
    const starts = entry.listStarts(job.id).length;
    resubmission = entry.submit(job, causes[cause]?.isMemoryFull);
    causes[cause]?.after?.();
    entry.advance(2000);
    assert.equal(entry.listStarts(job.id).length, starts, "the second submission has started tasks");
});

When(
    "the job is sent again {int} times, every {int} ms, while the workers have no room",
    (times: number, milliseconds: number) => {
        entry.isFull = true;
        for (let index = 0; index < times; index += 1) {
            entry.advance(milliseconds);
            resubmission = entry.submit(job);
        }
        entry.advance(milliseconds);
    },
);

Then("the answer to the job that was sent again is {string}", (kind: string) => {
    assert.equal(entry.findAnswer(resubmission)?.kind, kind);
});

Then(
    "of {int} jobs that end within 1 s, an entry remembers the latest {int}",
    (ended: number, remembered: number) => {
        const orderedJobs = new OrderedJobs();
        for (let index = 0; index < ended; index += 1) {
            orderedJobs.record(`job-${index}`, 1000 * index / ended);
        }
        assert.equal(orderedJobs.size, remembered);
        assert.equal(orderedJobs.has(`job-${ended - remembered - 1}`, 1000), false);
        assert.equal(orderedJobs.has(`job-${ended - remembered}`, 1000), true);
    },
);
