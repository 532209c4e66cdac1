import { Given, Then, When } from "@cucumber/cucumber";
import type { DirectJob } from "@lovagepitch/direct/model/directJob";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";
import { setFault } from "./directFaults.js";

/** Run times of the tasks of the job, by position, in milliseconds: the first half ends before the caller is cut off. */
const taskMilliseconds = [100, 120, 140, 160, 1500, 1500, 1500, 1500];

const job = {
    id: "c000000000000001",
    taskCount: taskMilliseconds.length,
    estimatedMilliseconds: 1500,
    callerWaitMilliseconds: 20_000,
} satisfies Partial<DirectJob>;

/** Job of tasks that run longer than a caller waits before it sends a job again. */
const longJob = {
    id: "c000000000000002",
    taskCount: 4,
    estimatedMilliseconds: 4000,
    callerWaitMilliseconds: 20_000,
} satisfies Partial<DirectJob>;

let deployment = createDeployment(2, 4);
let latest: Partial<DirectJob> & { readonly id: string } = job;

function createDeployment(entries: number, workers: number): DirectDeployment {
    return new DirectDeployment({
        entries,
        workers,
        milliCores: 16_000,
        seed: 1,
        getTaskDurationMilliseconds: run => {
            return run.job === longJob.id ? longJob.estimatedMilliseconds : taskMilliseconds[run.task] ?? 100;
        },
    });
}

Given("{int} entries and {int} workers for jobs that are sent again", (entries: number, workers: number) => {
    deployment = createDeployment(entries, workers);
});

When(
    "a job of short and long tasks runs at entry {int} for {int} ms and its caller's connection breaks",
    (entry: number, milliseconds: number) => runUntilDisconnect(job, entry, milliseconds, () => undefined),
);

When(
    "a job of tasks of 4 s runs at entry {int} for {int} ms and its caller's connection breaks",
    (entry: number, milliseconds: number) => runUntilDisconnect(longJob, entry, milliseconds, () => undefined),
);

When(
    "a job of tasks of 4 s runs at entry {int} for {int} ms, all connections become silent and its caller's connection breaks",
    (entry: number, milliseconds: number) => {
        runUntilDisconnect(longJob, entry, milliseconds, () => deployment.silenceConnections());
    },
);

function runUntilDisconnect(
    submitted: typeof latest,
    entry: number,
    milliseconds: number,
    beforeDisconnect: () => void,
): void {
    latest = submitted;
    const request = deployment.submit(entry, submitted);
    deployment.advance(milliseconds);
    beforeDisconnect();
    deployment.closeCallerConnection(entry, request, submitted.id);
}

When("it is sent again to entry {int} after {int} ms", (entry: number, milliseconds: number) => {
    deployment.advance(milliseconds);
    deployment.submit(entry, latest);
});

When("all workers execute stops alone {int} ms late", (stopDelayMilliseconds: number) => {
    deployment.workers.forEach((_, index) => setFault(deployment, index, { stopDelayMilliseconds }));
});

When("{int} ms later all connections between entries and agents are replaced", (milliseconds: number) => {
    deployment.advance(milliseconds);
    deployment.linkNetwork.close(() => true);
});

When(
    "entry {int} is killed and restarted after {int} ms, and agent {int} connects only {int} ms later",
    (entry: number, downMilliseconds: number, agent: number, lateMilliseconds: number) => {
        deployment.killEntry(entry);
        deployment.advance(downMilliseconds);
        deployment.setPartitioned("agent", agent, true);
        deployment.restartEntry(entry);
        deployment.queue.schedule(deployment.clock.nowMilliseconds() + lateMilliseconds, () => {
            deployment.setPartitioned("agent", agent, false);
        }, undefined);
    },
);

When("{int} ms pass for the jobs that are sent again", (milliseconds: number) => {
    deployment.advance(milliseconds);
});

Then("no task ran twice at the same time, and each answer was that of its submission", () => {
    assert.deepEqual(deployment.record.violations, []);
});

Then("the job that was sent again was done", () => {
    assert.equal(deployment.record.answers.at(-1)?.answer.kind, "done");
});
