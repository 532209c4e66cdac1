import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";

/** Time from the arrival of the job until its caller's connection breaks, in milliseconds. */
const brokenAfterMilliseconds = 300;

/**
 * Run times of a short task that runs meanwhile, in milliseconds. They cover the interval of the agent's views, so that
 * one of them lets the agent extend the worker's lease at the last moment.
 */
const shortTaskMilliseconds = Array.from({ length: 18 }, (_, index) => 100 + 5 * index);

const longTaskMilliseconds = 4000;

const job = {
    id: "e000000000000001",
    taskCount: 8,
    estimatedMilliseconds: longTaskMilliseconds,
    callerWaitMilliseconds: 20_000,
} as const;

/** A caller whose connection breaks now. */
interface BrokenCaller {
    readonly deployment: DirectDeployment;
    readonly request: number;
    readonly brokenAt: number;
}

let callers: readonly BrokenCaller[] = [];

/**
 * Creates a deployment that runs the job. Two short jobs make the agent, and then the entry, send a frame just before the
 * caller's connection breaks, so that the entry's lease has just been renewed.
 */
function createCaller(entries: number, workers: number, milliseconds: number): BrokenCaller {
    const deployment = new DirectDeployment({
        entries,
        workers,
        milliCores: 16_000,
        seed: 1,
        getTaskDurationMilliseconds: run => run.job === job.id ? longTaskMilliseconds : milliseconds,
    });
    const request = deployment.submit(0, job);
    const beforeMilliseconds = milliseconds + 8;
    deployment.advance(brokenAfterMilliseconds - beforeMilliseconds);
    deployment.submit(0, { id: "a000000000000001", taskCount: workers, maximumPerWorker: 1 });
    deployment.advance(beforeMilliseconds - 2);
    deployment.submit(0, { id: "a000000000000002", taskCount: workers, maximumPerWorker: 1 });
    deployment.advance(2);
    assert.equal(deployment.record.listRunningTasks().length, job.taskCount + workers);
    return { deployment, request, brokenAt: deployment.clock.nowMilliseconds() };
}

function freezeAgents(deployment: DirectDeployment): void {
    deployment.workers.forEach((_, index) => deployment.setFrozen("agent", index, true));
}

Given("{int} entries and {int} workers with a job of long tasks at entry 0", (entries: number, workers: number) => {
    callers = shortTaskMilliseconds.map(milliseconds => createCaller(entries, workers, milliseconds));
});

When(
    "entry 0 is frozen as the connection of the long job's caller breaks, and all agents {int} ms later",
    (milliseconds: number) => {
        for (const { deployment, request } of callers) {
            deployment.setFrozen("entry", 0, true);
            deployment.closeCallerConnection(0, request, job.id);
            deployment.advance(milliseconds);
            freezeAgents(deployment);
        }
    },
);

When(
    "the connection of the long job's caller breaks, entry 0 notices it {int} ms later, cut off then, and agents freeze {int} ms later",
    (noticeMilliseconds: number, freezeMilliseconds: number) => {
        for (const { deployment, request } of callers) {
            deployment.advance(noticeMilliseconds);
            deployment.setPartitioned("entry", 0, true);
            deployment.closeCallerConnection(0, request, job.id);
            deployment.advance(freezeMilliseconds);
            freezeAgents(deployment);
        }
    },
);

When(
    "the connection of the long job's caller breaks for the caller alone, and it sends the job to entry 1 after {int} ms",
    (milliseconds: number) => {
        for (const { deployment } of callers) {
            deployment.advance(milliseconds);
            deployment.submit(1, job);
            deployment.advance(longTaskMilliseconds);
        }
    },
);

Then("no long task runs {int} ms after the connection broke", (milliseconds: number) => {
    for (const { deployment, brokenAt } of callers) {
        deployment.advance(brokenAt + milliseconds - deployment.clock.nowMilliseconds());
        deployment.workers.forEach(worker => worker.advance());
        assert.deepEqual(deployment.record.listRunningTasks(), []);
    }
});

Then("no long task ran twice at the same time", () => {
    for (const { deployment } of callers) {
        assert.deepEqual(deployment.record.violations, []);
    }
});
