import { Given, Then, When } from "@cucumber/cucumber";
import type { DirectJob } from "@lovagepitch/direct/model/directJob";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";
import { setFault } from "./directFaults.js";

const taskMilliseconds = 2500;

/** Time after which calls that were executed late have begun to arrive, in milliseconds. */
const lateCallsWarmUpMilliseconds = 3000;
const warmUpMilliseconds = 300;

const job = {
    id: "c000000000000001",
    taskCount: 8,
    estimatedMilliseconds: taskMilliseconds,
    callerWaitMilliseconds: 20_000,
} satisfies Partial<DirectJob>;

const otherJob = { ...job, id: "c000000000000002" };

let deployment = createDeployment(2, 4);
let request = 0;

function createDeployment(entries: number, workers: number): DirectDeployment {
    return new DirectDeployment({
        entries,
        workers,
        milliCores: 16_000,
        seed: 1,
        getTaskDurationMilliseconds: () => taskMilliseconds,
    });
}

function sendAgainAfter(milliseconds: number): void {
    deployment.queue.schedule(
        deployment.clock.nowMilliseconds() + milliseconds,
        () => deployment.submit(1, job),
        undefined,
    );
}

Given("{int} entries and {int} workers that run long tasks of both entries", (entries: number, workers: number) => {
    deployment = createDeployment(entries, workers);
    deployment.submit(1, otherJob);
    request = deployment.submit(0, job);
    deployment.advance(warmUpMilliseconds);
});

When("all workers refuse stops", () => {
    deployment.workers.forEach((_, index) => setFault(deployment, index, { rejectsStops: true }));
});

When("all workers execute stops {int} ms late without answer", (stopDelayMilliseconds: number) => {
    deployment.workers.forEach((_, index) => setFault(deployment, index, { stopDelayMilliseconds }));
});

When(
    "the caller's connection to entry {int} breaks, and it sends its job to entry 1 after {int} ms",
    (entry: number, milliseconds: number) => {
        deployment.closeCallerConnection(entry, request, job.id);
        sendAgainAfter(milliseconds);
    },
);

When(
    "entry {int} is killed, and its caller sends the job to entry 1 after {int} ms",
    (entry: number, milliseconds: number) => {
        deployment.killEntry(entry);
        sendAgainAfter(milliseconds);
    },
);

When(
    "entry {int} is frozen for {int} ms, and its caller sends the job to entry 1 after {int} ms",
    (entry: number, frozenMilliseconds: number, milliseconds: number) => {
        deployment.setFrozen("entry", entry, true);
        deployment.closeCallerConnection(entry, request, job.id);
        sendAgainAfter(milliseconds);
        deployment.advance(frozenMilliseconds);
        deployment.setFrozen("entry", entry, false);
    },
);

When("half of the agents are killed and start again after {int} ms", (milliseconds: number) => {
    const agents = deployment.workers.map((_, index) => index).filter(index => index % 2 === 0);
    agents.forEach(index => deployment.killAgent(index));
    deployment.advance(milliseconds);
    agents.forEach(index => deployment.restartAgent(index));
});

When(
    "entry {int} is frozen while its caller's connection breaks, and the caller sends its job to entry 1 after {int} ms",
    (entry: number, milliseconds: number) => {
        deployment.setFrozen("entry", entry, true);
        sendAgainAfter(milliseconds);
    },
);

When(
    "entry {int} resumes {int} ms after it was frozen, and learns {int} ms later that the connection is broken",
    (entry: number, frozenMilliseconds: number, laterMilliseconds: number) => {
        deployment.advance(frozenMilliseconds);
        deployment.setFrozen("entry", entry, false);
        deployment.advance(laterMilliseconds);
        deployment.closeCallerConnection(entry, request, job.id);
    },
);

Given("every third call to a worker is executed late, and its lease counts from then on", () => {
    deployment = createDeployment(2, 4);
    deployment.workers.forEach((_, index) => {
        setFault(deployment, index, { unansweredCallInterval: 3, lateViewsCountFromArrival: true });
    });
    deployment.advance(lateCallsWarmUpMilliseconds);
});

When(
    "a job starts at entry {int}, and half of the agents are {word} after {int} ms",
    (entry: number, fault: string, milliseconds: number) => {
        deployment.submit(entry, job);
        deployment.advance(milliseconds);
        for (const index of [0, 2]) {
            if (fault === "killed") {
                deployment.killAgent(index);
            }
            else {
                deployment.setFrozen("agent", index, true);
            }
        }
    },
);

Then(
    "no task has run twice at the same time within {int} ms, and the job sent again is done",
    (milliseconds: number) => {
        deployment.advance(milliseconds);
        assert.deepEqual(deployment.record.violations, []);
        assert.ok(deployment.record.answers.some(({ job: id, answer }) => id === job.id && answer.kind === "done"));
    },
);
