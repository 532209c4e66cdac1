import { Given, Then, When } from "@cucumber/cucumber";
import type { WorkerReport } from "@lovagepitch/direct/model/workerStatus";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";
import { injectCrashFault, injectRefusal, setFault } from "./directFaults.js";

/** Part of the run time of a task after which its worker refuses calls, in milliseconds. */
const refusedAfterMilliseconds = 15;

let deployment = createDeployment(2, 4, 1);
let taskMilliseconds = 100;
let jobs: string[] = [];
let formerReport: WorkerReport | undefined;

function createDeployment(entries: number, workers: number, seed: number): DirectDeployment {
    return new DirectDeployment({
        entries,
        workers,
        milliCores: 16_000,
        seed,
        getTaskDurationMilliseconds: () => taskMilliseconds,
    });
}

function submit(count: number, milliseconds: number, taskCount = 4): void {
    for (let index = 0; index < count; index += 1) {
        const id = `d${(jobs.length + 1).toString(16).padStart(15, "0")}`;
        jobs.push(id);
        const estimatedMilliseconds = taskMilliseconds;
        deployment.submit(index % 2, { id, taskCount, estimatedMilliseconds, callerWaitMilliseconds: 20_000 });
        deployment.advance(milliseconds / count);
    }
}

function refuseCalls(indexes: readonly number[], refusesConnections: boolean): void {
    indexes.forEach(index => setFault(deployment, index, { refusesConnections }));
}

Given("{int} entries and {int} workers that may refuse calls", (entries: number, workers: number) => {
    jobs = [];
    formerReport = undefined;
    deployment = createDeployment(entries, workers, 1);
});

When(
    "{int} jobs of {int} ms tasks arrive within {int} ms at workers that may refuse calls",
    (count: number, duration: number, milliseconds: number) => {
        taskMilliseconds = duration;
        submit(count, milliseconds);
    },
);

When("workers {int} and {int} refuse calls for {int} ms", (first: number, second: number, milliseconds: number) => {
    refuseCalls([first, second], true);
    deployment.queue.schedule(deployment.clock.nowMilliseconds() + milliseconds, () => {
        refuseCalls([first, second], false);
    }, undefined);
});

When("worker {int} crashes and is back, and its former report is kept", (index: number) => {
    formerReport = deployment.fleet.createReport(index);
    deployment.fleet.restart(index);
    deployment.fleet.sendReport(index);
    deployment.advance(500);
});

When(
    "workers {int} and {int} refuse calls for {int} ms, and the former report arrives meanwhile",
    (first: number, second: number, milliseconds: number) => {
        refuseCalls([first, second], true);
        deployment.advance(milliseconds / 2);
        assert.ok(formerReport);
        deployment.fleet.deliverReport(first, formerReport);
        deployment.advance(milliseconds / 2);
        refuseCalls([first, second], false);
    },
);

When("{int} ms pass for the workers that may refuse calls", (milliseconds: number) => {
    deployment.advance(milliseconds);
});

When(
    "a job of one task of {int} ms arrives, and each worker that runs it refuses calls for {int} ms soon after its start",
    (duration: number, milliseconds: number) => {
        taskMilliseconds = duration;
        submit(1, 1, 1);
        for (let starts = 0; starts < 4; starts += 1) {
            const reached = deployment.clock.nowMilliseconds() + 2000;
            while (deployment.record.startCount <= starts && deployment.clock.nowMilliseconds() < reached) {
                deployment.advance(1);
            }
            deployment.advance(refusedAfterMilliseconds);
            const busy = [...deployment.workers.keys()].filter(index => deployment.workers[index]?.isBusy === true);
            refuseCalls(busy, true);
            deployment.advance(milliseconds);
            refuseCalls(busy, false);
        }
        deployment.advance(5000);
    },
);

When("{int} faults occur in random order among refusals, seed {int}", (count: number, seed: number) => {
    taskMilliseconds = 150;
    deployment = createDeployment(2, 4, seed);
    const random = new RandomSource(seed);
    const endFaults: (() => void)[] = [];
    for (let index = 0; index < count; index += 1) {
        const isRefusal = random.nextInteger(2) === 0;
        endFaults.push(isRefusal ? injectRefusal(deployment, random) : injectCrashFault(deployment, random));
        submit(10 + random.nextInteger(20), 50 + random.nextInteger(400));
        if (random.nextInteger(2) === 0) {
            endFaults.shift()?.();
        }
    }
    endFaults.forEach(endFault => endFault());
});

Then("no task ran twice and no job failed for a refusal", () => {
    assert.deepEqual(deployment.record.violations, []);
});

Then("no run was interrupted by a refusal", () => {
    const { record } = deployment;
    assert.deepEqual(record.violations, []);
    assert.equal(record.countRunEnds("stopped") + record.countRunEnds("lost"), 0);
    assert.equal(record.startCount, jobs.length * 4);
});

Then("every job at these workers was done", () => {
    const others = deployment.record.answers.filter(({ answer }) => answer.kind !== "done");
    assert.deepEqual(others, []);
    assert.equal(deployment.record.countAnswers("done"), jobs.length);
});
