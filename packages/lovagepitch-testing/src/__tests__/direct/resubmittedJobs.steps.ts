import { Given, Then, When } from "@cucumber/cucumber";
import type { DirectJob } from "@lovagepitch/direct/model/directJob";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";

/** Run times of the tasks of the job, by position, in milliseconds: the first half ends before the caller is cut off. */
const taskMilliseconds = [100, 120, 140, 160, 1500, 1500, 1500, 1500];

const job = {
    id: "c000000000000001",
    taskCount: taskMilliseconds.length,
    estimatedMilliseconds: 1500,
    callerWaitMilliseconds: 20_000,
} satisfies Partial<DirectJob>;

let deployment = createDeployment(2, 4);

function createDeployment(entries: number, workers: number): DirectDeployment {
    return new DirectDeployment({
        entries,
        workers,
        milliCores: 16_000,
        seed: 1,
        getTaskDurationMilliseconds: run => taskMilliseconds[run.task] ?? 100,
    });
}

Given("{int} entries and {int} workers for jobs that are sent again", (entries: number, workers: number) => {
    deployment = createDeployment(entries, workers);
});

When(
    "a job of short and long tasks runs at entry {int} for {int} ms and its caller's connection breaks",
    (entry: number, milliseconds: number) => {
        const request = deployment.submit(entry, job);
        deployment.advance(milliseconds);
        deployment.closeCallerConnection(entry, request, job.id);
    },
);

When("it is sent again to entry {int} after {int} ms", (entry: number, milliseconds: number) => {
    deployment.advance(milliseconds);
    deployment.submit(entry, job);
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
