import { Given, Then, When } from "@cucumber/cucumber";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import assert from "node:assert/strict";
import { defaultJob } from "../../direct/defaultJob.js";
import { DirectDeployment } from "../../direct/directDeployment.js";
import { defaultJobKinds } from "../../direct/jobKinds.js";
import { MixedLoad } from "../../direct/mixedLoad.js";
import { simulateCentralQueue } from "../../direct/simulateCentralQueue.js";
import { injectRandomFault, setFault } from "./directFaults.js";

/** Run time of each task of a job of long tasks, in milliseconds. */
const longTaskMilliseconds = 2000;

/** Returns the run time of a task of the other jobs, in milliseconds; it differs between the tasks of a job. */
function getTaskDurationMilliseconds(task: number): number {
    return 100 + (task * 37) % 100;
}

interface SubmittedJob {
    readonly id: string;
    readonly entry: number;
    readonly request: number;
    readonly atMilliseconds: number;
    readonly isBad: boolean;
}

class DirectWorld {
    public readonly jobs: SubmittedJob[] = [];
    private nextId = 1;

    public constructor(public readonly deployment: DirectDeployment) {}

    public submit(entry: number, hasLongTasks: boolean, isBad: boolean): void {
        const id = (hasLongTasks ? "f" : "a") + this.nextId.toString(16).padStart(15, "0");
        this.nextId += 1;
        const estimatedMilliseconds = hasLongTasks ? longTaskMilliseconds : 200;
        const request = this.deployment.submit(entry, {
            id,
            estimatedMilliseconds,
            callerWaitMilliseconds: hasLongTasks ? 20_000 : 5000,
            taskCount: hasLongTasks ? 8 : 4,
        }, isBad);
        this.jobs.push({ id, entry, request, atMilliseconds: this.deployment.clock.nowMilliseconds(), isBad });
    }

    public submitEvenly(count: number, durationMilliseconds: number, badJobInterval: number): void {
        for (let index = 0; index < count; index += 1) {
            this.submit(index % 2, false, badJobInterval > 0 && index % badJobInterval === 0);
            this.deployment.advance(durationMilliseconds / count);
        }
    }
}

let mixedLoad: MixedLoad | undefined;
let world = new DirectWorld(createDeployment(2, 4, 16_000, 1));

function createDeployment(entries: number, workers: number, milliCores: number, seed: number): DirectDeployment {
    return new DirectDeployment({
        entries,
        workers,
        milliCores,
        seed,
        getTaskDurationMilliseconds: run =>
            run.job.startsWith("f") ? longTaskMilliseconds : getTaskDurationMilliseconds(run.task),
    });
}

Given(
    "{int} entries and {int} workers of {int} cores for direct jobs",
    (entries: number, workers: number, cores: number) => {
        world = new DirectWorld(createDeployment(entries, workers, cores * 1000, 1));
    },
);

When("{int} direct jobs arrive within {int} ms", (count: number, milliseconds: number) => {
    world.submitEvenly(count, milliseconds, 0);
});

When(
    "{int} direct jobs arrive within {int} ms, one in {int} of them bad",
    (count: number, milliseconds: number, badJobInterval: number) => {
        world.submitEvenly(count, milliseconds, badJobInterval);
    },
);

When("{int} ms pass", (milliseconds: number) => {
    world.deployment.advance(milliseconds);
});

When("a direct job of long tasks starts", () => {
    world.submit(0, true, false);
    world.deployment.advance(300);
    assert.ok(world.deployment.record.listRunningTasks().length > 0, "no task of the job is running");
});

When("its caller closes the connection", () => {
    const job = world.jobs.at(-1);
    assert.ok(job);
    world.deployment.closeCallerConnection(job.entry, job.request, job.id);
});

When("the same direct job arrives at entry {int}", (entry: number) => {
    const job = world.jobs.at(-1);
    assert.ok(job);
    world.deployment.submit(entry, {
        id: job.id,
        estimatedMilliseconds: longTaskMilliseconds,
        callerWaitMilliseconds: 20_000,
        taskCount: 8,
    });
});

When(
    "the same direct jobs arrive at entry {int} after {int} ms",
    (entry: number, milliseconds: number) => {
        world.deployment.advance(milliseconds);
        for (const job of world.jobs.filter(other => other.entry !== entry)) {
            world.deployment.submit(entry, { id: job.id });
        }
        world.deployment.advance(20);
    },
);

When("the callers at entry {int} close their connections", (entry: number) => {
    for (const job of world.jobs.filter(other => other.entry === entry)) {
        world.deployment.closeCallerConnection(entry, job.request, job.id);
    }
});

When("entry {int} is killed", (entry: number) => {
    world.deployment.killEntry(entry);
});

When("entry {int} is partitioned", (entry: number) => {
    world.deployment.setPartitioned("entry", entry, true);
});

When(/^(entry|agent) (\d+) (is frozen|wakes)$/, (kind: string, index: string, what: string) => {
    world.deployment.setFrozen(kind as "entry" | "agent", Number(index), what === "is frozen");
});

When(
    "agent {int} is killed and restarted after {int} ms",
    (agent: number, milliseconds: number) => {
        world.deployment.killAgent(agent);
        world.deployment.advance(milliseconds);
        world.deployment.restartAgent(agent);
    },
);

When("all agents are killed and restarted, and their workers report later", () => {
    for (let agent = 0; agent < 4; agent += 1) {
        world.deployment.killAgent(agent);
        world.deployment.restartAgent(agent, "record");
    }
});

When(
    "agent {int} is killed and restarted after {int} ms, and its worker reports later",
    (agent: number, milliseconds: number) => {
        world.deployment.killAgent(agent);
        world.deployment.advance(milliseconds);
        world.deployment.restartAgent(agent, "record");
    },
);

When("agent {int} is killed", (agent: number) => {
    world.deployment.killAgent(agent);
});

When("agent {int} shuts down gracefully", (agent: number) => {
    world.deployment.shutDownAgent(agent);
});

When("worker {int} crashes and restarts", (index: number) => {
    world.deployment.fleet.restart(index);
});

When("worker {int} executes its orders {int} ms late", (index: number, delay: number) => {
    setFault(world.deployment, index, { orderDelayMilliseconds: delay });
});

When("one call in {int} to each worker is executed late without an answer", (interval: number) => {
    world.deployment.workers.forEach((_, index) => {
        setFault(world.deployment, index, { unansweredCallInterval: interval });
    });
});

When("worker {int} executes its orders without delay", (index: number) => {
    setFault(world.deployment, index, { orderDelayMilliseconds: undefined });
});

When("worker {int} drops its responses", (index: number) => {
    setFault(world.deployment, index, { dropsResponses: true });
});

When("worker {int} sends its responses again", (index: number) => {
    setFault(world.deployment, index, { dropsResponses: false });
});

When("worker {int} is partitioned", (index: number) => {
    setFault(world.deployment, index, { isPartitioned: true });
});

When("worker {int} stalls", (index: number) => {
    setFault(world.deployment, index, { isStalled: true });
});

When("worker {int} fails every run", (index: number) => {
    setFault(world.deployment, index, { failsEverything: true });
});

When("agent {int} is restarted, and its worker reports later", (agent: number) => {
    world.deployment.restartAgent(agent, "record");
});

When("worker {int} drains", (index: number) => {
    world.deployment.fleet.drain(index);
});

When("worker {int} drains and restarts after {int} ms", (index: number, milliseconds: number) => {
    world.deployment.fleet.drain(index, milliseconds);
    world.deployment.advance(milliseconds);
    world.deployment.fleet.restart(index);
});

Then("no run was lost with its worker", () => {
    assert.equal(world.deployment.record.countRunEnds("lost"), 0);
});

When("all connections between entries and agents become silent", () => {
    world.deployment.silenceConnections();
});

When(
    "{int} faults occur in random order under load with seed {int}",
    (count: number, seed: number) => {
        world = new DirectWorld(createDeployment(2, 4, 16_000, seed));
        injectFaultsUnderLoad(count, new RandomSource(seed));
    },
);

When(
    "{int} faults occur in random order under load with seed {int}, on some seeds beside calls without an answer",
    (count: number, seed: number) => {
        world = new DirectWorld(createDeployment(2, 4, 16_000, seed));
        const random = new RandomSource(seed);
        const { deployment } = world;
        const interval = random.nextInteger(3) === 0 ? 8 + random.nextInteger(20) : undefined;
        deployment.workers.forEach((_, index) => setFault(deployment, index, { unansweredCallInterval: interval }));
        injectFaultsUnderLoad(count, random);
        deployment.workers.forEach((_, index) => setFault(deployment, index, { unansweredCallInterval: undefined }));
    },
);

function injectFaultsUnderLoad(count: number, random: RandomSource): void {
    const endFaults: (() => void)[] = [];
    for (let index = 0; index < count; index += 1) {
        endFaults.push(injectRandomFault(world.deployment, random));
        world.submitEvenly(10 + random.nextInteger(20), 50 + random.nextInteger(400), 15);
        if (random.nextInteger(2) === 0) {
            endFaults.shift()?.();
        }
    }
    endFaults.forEach(endFault => endFault());
}

Then("the guarantees of direct jobs hold", () => {
    assert.deepEqual(world.deployment.record.violations, []);
});

Then("every direct job was done", () => {
    const { record } = world.deployment;
    const otherAnswers = record.answers.filter(({ answer }) => answer.kind !== "done");
    assert.deepEqual(otherAnswers, []);
    assert.equal(record.countAnswers("done"), world.jobs.length);
});

Then("every direct job was answered within {int} ms more than its objective", (allowance: number) => {
    const longestTask = Math.max(...Array.from({ length: 4 }, (_, task) => getTaskDurationMilliseconds(task)));
    const objective = defaultJob.allowanceMilliseconds + defaultJob.stretch * longestTask;
    const late = world.deployment.record.answers.filter(({ job, atMilliseconds }) => {
        const arrival = world.jobs.find(other => other.id === job)?.atMilliseconds ?? 0;
        return atMilliseconds - arrival > objective + allowance;
    });
    assert.deepEqual(late, []);
});

Then(
    "at least nine tenths as many direct jobs were done within {int} ms as with a central queue without messages",
    (limit: number) => {
        const start = world.jobs[0]?.atMilliseconds ?? 0;
        const centralQueueResponses = simulateCentralQueue({
            arrivals: world.jobs.map(job => job.atMilliseconds - start),
            taskDurationsMilliseconds: Array.from(
                { length: defaultJob.taskCount },
                (_, task) => getTaskDurationMilliseconds(task),
            ),
            slots: 4 * Math.floor(16_000 / defaultJob.needs.milliCores),
            startLimitMilliseconds: defaultJob.allowanceMilliseconds
                + (defaultJob.stretch - 1) * defaultJob.estimatedMilliseconds,
        });
        const minimum = 0.9 * centralQueueResponses.filter(response => response <= limit).length;
        const inTime = world.deployment.record.answers.filter(({ answer, job, atMilliseconds }) => {
            const arrival = world.jobs.find(other => other.id === job)?.atMilliseconds ?? 0;
            return answer.kind === "done" && atMilliseconds - arrival <= limit;
        });
        assert.ok(inTime.length >= minimum, `${inTime.length} were done in time, at least ${minimum} expected`);
    },
);

When(
    "four entries and eleven workers receive {float} times the default job mix for {int} s",
    (factor: number, seconds: number) => {
        mixedLoad = new MixedLoad({ entries: 4, workers: 11, rateFactor: factor, durationSeconds: seconds, seed: 1 });
        mixedLoad.run();
        world = new DirectWorld(mixedLoad.deployment);
    },
);

Then("the share of jobs done in time is at least as large for urgent jobs as for usual jobs", () => {
    const [urgent, usual] = ["urgent", "usual"].map(kind => mixedLoad?.countJobs(kind));
    assert.ok(urgent && usual);
    assert.ok(
        urgent.inTime / urgent.jobs >= usual.inTime / usual.jobs,
        `urgent ${JSON.stringify(urgent)}, usual ${JSON.stringify(usual)}`,
    );
});

Then("every job of the mix was done in time", () => {
    for (const { name } of defaultJobKinds) {
        const result = mixedLoad?.countJobs(name);
        assert.equal(result?.inTime, result?.jobs, `${name} ${JSON.stringify(result)}`);
    }
});

Then("as many runs were started as there are tasks", () => {
    assert.equal(world.deployment.record.startCount, world.jobs.length * defaultJob.taskCount);
});

Then("at least {int} direct jobs were done", (minimum: number) => {
    const done = world.deployment.record.countAnswers("done");
    assert.ok(done >= minimum, `only ${done} direct jobs were done`);
});

Then("some direct jobs were refused within {int} ms of their arrival", (limit: number) => {
    const refused = world.deployment.record.answers.filter(({ answer }) => answer.kind === "refused");
    assert.ok(refused.length > 0);
    for (const answer of refused) {
        const arrival = world.jobs.find(job => job.id === answer.job)?.atMilliseconds ?? 0;
        assert.ok(
            answer.atMilliseconds - arrival <= limit,
            `${answer.job} after ${answer.atMilliseconds - arrival} ms`,
        );
        assert.ok(answer.answer.kind === "refused" && answer.answer.retryAfterSeconds >= 1);
    }
});

Then("{int} direct jobs failed and the others were done", (failed: number) => {
    const { record } = world.deployment;
    assert.equal(record.countAnswers("failed"), failed);
    assert.equal(record.countAnswers("done"), world.jobs.length - failed);
});

Then("no task of a direct job is running", () => {
    assert.deepEqual(world.deployment.record.listRunningTasks(), []);
});

Then("no run was interrupted", () => {
    const { record } = world.deployment;
    assert.equal(record.countRunEnds("stopped") + record.countRunEnds("lost"), 0);
});

Then("at most {int} runs failed", (maximum: number) => {
    const failed = world.deployment.record.countRunEnds("failed");
    assert.ok(failed <= maximum, `${failed} runs failed`);
});

Then("worker {int} has all its capacity free", (index: number) => {
    assert.equal(world.deployment.freeMilliCores(index), 16_000);
});

Then("all workers have all their capacity free", () => {
    for (const index of world.deployment.workers.keys()) {
        assert.equal(world.deployment.freeMilliCores(index), 16_000, `worker ${index}`);
    }
});

Then("worker {int} started some of the latest {int} direct jobs", (index: number, count: number) => {
    const latest = new Set(world.jobs.slice(-count).map(job => job.id));
    const started = world.deployment.record.listStarts(world.deployment.workers[index]?.name ?? "");
    assert.ok(started.some(run => latest.has(run.job)), "the worker started no task of the latest jobs");
});

Then("worker {int} started no task after it began to drain", (index: number) => {
    assert.equal(world.deployment.workers[index]?.isBusy, false);
    assert.equal(world.deployment.record.listStarts(world.deployment.workers[index]?.name ?? "").length, 0);
});
