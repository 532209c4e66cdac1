import { Given, Then, When } from "@cucumber/cucumber";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";
import { injectRandomFault, setFault } from "./directFaults.js";

const workerMilliCores = 16_000;

let deployment = createDeployment(2, 4, workerMilliCores, 1);
let nextId = 1;
let startsBeforeAgents = 0;

function createDeployment(entries: number, workers: number, milliCores: number, seed: number): DirectDeployment {
    return new DirectDeployment({
        entries,
        workers,
        milliCores,
        seed,
        getTaskDurationMilliseconds: run => 100 + (run.task * 37) % 100,
    });
}

function submitEvenly(count: number, milliseconds: number): void {
    for (let index = 0; index < count; index += 1) {
        deployment.submit(index % 2, { id: `b${nextId.toString(16).padStart(15, "0")}` });
        nextId += 1;
        deployment.advance(milliseconds / count);
    }
}

function restartWorkers(reportsNow: boolean): void {
    deployment.workers.forEach((_, index) => deployment.fleet.restartWithSameId(index, reportsNow));
}

Given(
    "{int} entries and {int} workers of {int} cores that keep their ids",
    (entries: number, workers: number, cores: number) => {
        deployment = createDeployment(entries, workers, cores * 1000, 1);
    },
);

When("{int} jobs arrive within {int} ms", submitEvenly);

When("{int} ms pass for these workers", (milliseconds: number) => deployment.advance(milliseconds));

When("the orders to all workers are executed {int} ms late", (milliseconds: number) => {
    deployment.workers.forEach((_, index) => setFault(deployment, index, { orderDelayMilliseconds: milliseconds }));
});

When(/^every worker restarts under its id and reports (now|later)$/, (time: string) => {
    restartWorkers(time === "now");
});

When(
    /^every worker restarts under its id with its clock set back (\d+) ms, and reports (now|later)$/,
    (milliseconds: string, time: string) => {
        deployment.workers.forEach((_, index) => {
            deployment.fleet.restartWithSameId(index, time === "now", Number(milliseconds));
        });
    },
);

When(
    "workers {int} and {int} and their agents end while orders are executed {int} ms late, and the agents are back {int} ms later",
    (first: number, second: number, lateMilliseconds: number, restartMilliseconds: number) => {
        const indexes = [first, second];
        indexes.forEach(index => setFault(deployment, index, { orderDelayMilliseconds: lateMilliseconds }));
        submitEvenly(6, 30);
        for (const index of indexes) {
            const formerClock = deployment.workers[index]?.workerClock ?? 0;
            deployment.killAgent(index);
            deployment.fleet.restartWithSameId(index, false);
            // The clock of the later life shows less, so that it does not reject the orders as late.
            assert.ok((deployment.workers[index]?.workerClock ?? 0) < formerClock);
        }
        deployment.advance(restartMilliseconds);
        deployment.workers.forEach(worker => worker.advance());
        startsBeforeAgents = indexes.flatMap(index => {
            return deployment.record.listStarts(deployment.workers[index]?.name ?? "");
        }).length;
        indexes.forEach(index => deployment.restartAgent(index, "record"));
    },
);

When(
    /^every agent and worker restarts after (\d+) ms, the agents learning from their (report|record)$/,
    (milliseconds: string, source: string) => {
        deployment.workers.forEach((_, index) => deployment.killAgent(index));
        restartWorkers(false);
        deployment.advance(Number(milliseconds));
        deployment.workers.forEach((_, index) => deployment.restartAgent(index, source as "report" | "record"));
    },
);

When("{int} faults occur in random order with workers that keep their ids, seed {int}", (
    count: number,
    seed: number,
) => {
    deployment = createDeployment(2, 4, workerMilliCores, seed);
    const random = new RandomSource(seed);
    const endFaults: (() => void)[] = [];
    for (let index = 0; index < count; index += 1) {
        endFaults.push(injectRandomFault(deployment, random, true));
        submitEvenly(10 + random.nextInteger(20), 50 + random.nextInteger(400));
        if (random.nextInteger(2) === 0) {
            endFaults.shift()?.();
        }
    }
    endFaults.forEach(endFault => endFault());
});

When(
    /^two workers restart under their ids every (\d+) ms for (\d+) ms under load, and report (now|later)$/,
    (interval: string, milliseconds: string, time: string) => {
        for (let elapsed = 0; elapsed < Number(milliseconds); elapsed += Number(interval)) {
            [0, 1].forEach(index => deployment.fleet.restartWithSameId(index, time === "now"));
            submitEvenly(Math.ceil(Number(interval) / 30), Number(interval));
        }
    },
);

Then("most jobs were done", () => {
    const { record } = deployment;
    assert.ok(record.countAnswers("done") > 0.8 * record.answers.length, `${record.countAnswers("done")} jobs`);
});

When("the workers start tasks {int} ms late, also after the latest instant", (milliseconds: number) => {
    deployment.workers.forEach((_, index) => {
        setFault(deployment, index, { orderDelayMilliseconds: milliseconds, ignoresLatestStart: true });
    });
});

When("the workers execute their orders without delay", () => {
    deployment.workers.forEach((_, index) => setFault(deployment, index, { orderDelayMilliseconds: undefined }));
});

When("a job arrives at entry 0 and is cancelled {int} ms later", (milliseconds: number) => {
    const id = `b${nextId.toString(16).padStart(15, "0")}`;
    nextId += 1;
    const submitted = deployment.submit(0, { id, estimatedMilliseconds: 1500 });
    deployment.advance(milliseconds);
    deployment.closeCallerConnection(0, submitted, id);
});

When("entry 0 is killed for good, {int} ms later", (milliseconds: number) => {
    deployment.advance(milliseconds);
    deployment.killEntry(0);
});

When("every agent is killed for good", () => {
    deployment.workers.forEach((_, index) => deployment.killAgent(index));
});

When("all agents are killed and restart at once", () => {
    deployment.workers.forEach((_, index) => {
        deployment.killAgent(index);
        deployment.restartAgent(index, "record");
    });
});

Then("no task runs {int} ms later", (milliseconds: number) => {
    deployment.advance(milliseconds);
    deployment.workers.forEach(worker => worker.advance());
    assert.deepEqual(deployment.record.listRunningTasks(), []);
});

Then("some task has started late in the later lives", () => assert.ok(startsBeforeAgents > 0));

Then("some task has started", () => assert.ok(deployment.record.startCount > 0));

Then("the guarantees hold, and all capacity is free", () => {
    assert.deepEqual(deployment.record.violations, []);
    deployment.workers.forEach((worker, index) => {
        assert.equal(deployment.freeMilliCores(index), workerMilliCores, `worker ${index}`);
        assert.equal(worker.isBusy, false);
    });
});

Then("each worker has started tasks since its restart", () => {
    for (const { name } of deployment.workers) {
        assert.ok(deployment.record.listStarts(name).length > 0, `${name} has started nothing`);
    }
});
