import { Given, Then, When } from "@cucumber/cucumber";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";
import type { FakeWorker } from "../../direct/fakeWorker.js";
import { getAt } from "../../direct/getAt.js";

/** Index of the agent that is started for worker 0 beside agent 0. */
const secondAgent = 2;

/** Time between two jobs, in milliseconds. */
const arrivalMilliseconds = 40;

/** Time after which a caller whose connection has broken sends its job again, in milliseconds. */
const resendMilliseconds = 1300;

/** Part of the jobs whose callers' connections break. */
const brokenPart = 0.2;

const taskMilliseconds = [80, 300, 700];

let deployment = createDeployment();
let random = new RandomSource(1);
let sentJobs: { readonly id: string; readonly request: number }[] = [];

function createDeployment(): DirectDeployment {
    return new DirectDeployment({
        entries: 2,
        workers: 3,
        milliCores: 16_000,
        seed: 1,
        getTaskDurationMilliseconds: run => taskMilliseconds[run.task] ?? 100,
    });
}

Given("2 entries, 2 workers and a second agent of worker 0", () => {
    deployment = createDeployment();
    random = new RandomSource(1);
    sentJobs = [];
    // The second agent's process starts later, for the same worker as agent 0.
    deployment.killAgent(secondAgent);
    (deployment.workers as FakeWorker[])[secondAgent] = getAt(deployment.workers, 0);
    deployment.advance(1500);
});

function schedule(milliseconds: number, action: () => void): void {
    deployment.queue.schedule(deployment.clock.nowMilliseconds() + milliseconds, action, undefined);
}

When(/^the second agent starts (.+)$/, (when: string) => {
    const overlap = /^(\d+) ms before/.exec(when)?.[1];
    if (when === "while the first one is frozen") {
        schedule(2000, () => deployment.setFrozen("agent", 0, true));
        schedule(2300, () => deployment.restartAgent(secondAgent));
        schedule(3100, () => deployment.setFrozen("agent", 0, false));
        return;
    }
    schedule(2000, () => deployment.restartAgent(secondAgent));
    if (overlap !== undefined) {
        schedule(2000 + Number(overlap), () => deployment.killAgent(0));
    }
});

function createJob(number: number) {
    return {
        id: (0xf000 + number).toString(16).padStart(16, "0"),
        taskCount: taskMilliseconds.length,
        estimatedMilliseconds: 300,
        allowanceMilliseconds: 1000,
        callerWaitMilliseconds: 20_000,
    };
}

function sendJobs(seconds: number, entry: number | undefined): void {
    for (let number = 0; number < seconds * 1000 / arrivalMilliseconds; number += 1) {
        const job = createJob(number + sentJobs.length);
        const first = entry ?? random.nextInteger(2);
        const request = deployment.submit(first, job);
        sentJobs.push({ id: job.id, request });
        if (entry === undefined && random.nextFraction() < brokenPart) {
            schedule(random.nextInteger(500), () => {
                deployment.closeCallerConnection(first, request, job.id);
                schedule(resendMilliseconds, () => deployment.submit(first, job));
            });
        }
        deployment.advance(arrivalMilliseconds);
    }
}

When("callers send jobs for {int} s, and again after each broken connection", (seconds: number) => {
    sendJobs(seconds, undefined);
});

When("callers send jobs to entry 0 for {int} s", (seconds: number) => sendJobs(seconds, 0));

When(
    /^entry 0 ends its jobs, with the connections to its agents (open|silent), and is gone (\d+) ms later$/,
    (state: string, milliseconds: string) => {
        if (state === "silent") {
            deployment.linkNetwork.silence(entry => entry === 0);
        }
        deployment.interruptEntry(0);
        deployment.advance(Number(milliseconds));
        deployment.killEntry(0);
    },
);

When("callers send their open jobs to entry 1 after {int} ms", (milliseconds: number) => {
    const done = new Set(
        deployment.record.answers.filter(({ answer }) => answer.kind === "done").map(({ job }) => job),
    );
    deployment.advance(milliseconds);
    sentJobs.forEach(({ id }, number) => {
        if (!done.has(id)) {
            deployment.submit(1, createJob(number));
        }
    });
    sendJobs(2, 1);
});

When(
    /^worker 0 drains while callers send jobs, leaves (\d+) ms later, and starts again under (another id|the same id)$/,
    (milliseconds: string, id: string) => {
        sendJobs(1, undefined);
        deployment.fleet.drain(0, Number(milliseconds));
        schedule(Number(milliseconds), () => {
            if (id === "another id") {
                deployment.fleet.restart(0);
            }
            else {
                deployment.fleet.restartWithSameId(0, false);
            }
        });
    },
);

When("{int} ms pass for the replaced processes", (milliseconds: number) => deployment.advance(milliseconds));

function assertDone(jobs: number): void {
    const done = deployment.record.answers.filter(({ answer }) => answer.kind === "done").length;
    assert.ok(done >= jobs, `${done} jobs were done`);
}

Then("the replaced processes broke no rule, and at least {int} jobs were done", (jobs: number) => {
    assert.deepEqual(deployment.record.violations, []);
    assertDone(jobs);
});

Then("the agents have excluded each other at most {int} times", (times: number) => {
    const exclusions = deployment.agentEvents.get("another process of this agent calls the worker") ?? 0;
    assert.ok(exclusions >= 1 && exclusions <= times, `${exclusions} times`);
});
