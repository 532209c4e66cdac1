import { Given, Then, When } from "@cucumber/cucumber";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";
import type { WorkerKind } from "../../direct/directDeploymentOptions.js";
import { MixedLoad } from "../../direct/mixedLoad.js";
import { injectCrashFault } from "./directFaults.js";

/** Time that a caller waits before it sends an interrupted job again, in milliseconds. */
const resendMilliseconds = 1300;

/** Run time of a crashing task until it crashes its worker, in milliseconds. */
const crashMilliseconds = 15;

/** Time between two checks for interrupted jobs, in milliseconds. */
const stepMilliseconds = 50;

const crashingJob = "c000000000000001";

/** A job of which one task makes no progress. */
const stuckJob = "5000000000000001";

class CrashWorld {
    public deployment: DirectDeployment;
    public mixedLoad: MixedLoad | undefined;
    public readonly harmlessJobs: string[] = [];
    public crashedAgents: readonly number[] = [];
    private readonly entries = new Map<string, number>();
    private readonly labels = new Map<string, string | undefined>();
    private seenAnswers = 0;
    private nextId = 1;

    public constructor(entries: number, workers: number, seed = 1, workerKinds: readonly WorkerKind[] = []) {
        this.deployment = new DirectDeployment({
            entries,
            workers,
            milliCores: 16_000,
            workerKinds,
            seed,
            getTaskDurationMilliseconds: run => {
                const isStuck = run.job === stuckJob && run.task === 1;
                return isStuck ? Number.MAX_SAFE_INTEGER : 100 + (run.task * 37) % 100;
            },
            getCrashMilliseconds: run => run.job.startsWith("c") && run.task === 1 ? crashMilliseconds : undefined,
        });
    }

    public submit(entry: number, id: string, requiredLabel?: string): void {
        this.entries.set(id, entry);
        this.labels.set(id, requiredLabel);
        this.deployment.submit(entry, { id, requiredLabel });
    }

    public submitHarmless(count: number, milliseconds: number, requiredLabel?: string): void {
        for (let index = 0; index < count; index += 1) {
            const id = `a${this.nextId.toString(16).padStart(15, "0")}`;
            this.nextId += 1;
            this.harmlessJobs.push(id);
            this.submit(index % 2, id, requiredLabel);
            this.pass(Math.round(milliseconds / count));
        }
    }

    /** Advances the clock; callers whose jobs were interrupted send them again at the other entry. */
    public pass(milliseconds: number): void {
        const { deployment } = this;
        for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
            deployment.advance(Math.min(stepMilliseconds, milliseconds - passed));
            const { answers } = deployment.record;
            for (const { job, answer } of answers.slice(this.seenAnswers)) {
                if (answer.kind === "interrupted") {
                    const entry = 1 - (this.entries.get(job) ?? 0);
                    const at = deployment.clock.nowMilliseconds() + resendMilliseconds;
                    deployment.queue.schedule(at, () => this.submit(entry, job, this.labels.get(job)), undefined);
                }
            }
            this.seenAnswers = answers.length;
        }
    }

    public hasOpen(entry: number): readonly string[] {
        const answered = new Set(this.deployment.record.answers.map(({ job }) => job));
        return [...this.entries].filter(([job, at]) => at === entry && !answered.has(job)).map(([job]) => job);
    }
}

let world = new CrashWorld(2, 6);

Given("{int} entries and {int} workers whose tasks may crash them", (entries: number, workers: number) => {
    world = new CrashWorld(entries, workers);
});

Given(
    "{int} entries and {int} workers of two kinds whose tasks may crash them",
    (entries: number, workers: number) => {
        const kinds = ["a", "b"].map(label => ({ label, size: 1, speed: 1 }));
        world = new CrashWorld(entries, workers, 1, kinds);
    },
);

When(
    "{int} harmless jobs for the first kind of workers arrive within {int} ms",
    (count: number, milliseconds: number) => {
        world.submitHarmless(count, milliseconds, "a");
    },
);

When("worker {int} crashes for another cause", (index: number) => {
    world.deployment.fleet.crash(index);
});

When("{int} harmless jobs arrive within {int} ms", (count: number, milliseconds: number) => {
    world.submitHarmless(count, milliseconds);
});

When("a job with a crashing task arrives at entry {int}", (entry: number) => {
    world.submit(entry, crashingJob);
});

When("a job with a task that makes no progress arrives at entry {int}", (entry: number) => {
    world.submit(entry, stuckJob);
});

Then("at most {int} worker was paused for each sending of that job", (maximum: number) => {
    const paused = world.deployment.agentEvents.get("worker paused") ?? 0;
    const sendings = world.deployment.listSubmissions(stuckJob).length;
    assert.ok(paused <= maximum * sendings, `${paused} workers were paused, the job was sent ${sendings} times`);
});

When("{int} ms pass, and callers send interrupted jobs again at the other entry", (milliseconds: number) => {
    world.pass(milliseconds);
});

When("{int} ms pass for the crashing workers", (milliseconds: number) => {
    world.pass(milliseconds);
});

When("the crashing job is sent again {int} times, at both entries in turn", (count: number) => {
    for (let index = 0; index < count; index += 1) {
        world.submit(index % 2, crashingJob);
        world.pass(500);
    }
});

When(
    "entry {int} is killed, its callers send their jobs to entry {int}, and it restarts after {int} ms",
    (entry: number, other: number, milliseconds: number) => {
        const open = world.hasOpen(entry);
        world.deployment.killEntry(entry);
        world.pass(resendMilliseconds);
        open.forEach(job => world.submit(other, job));
        world.pass(milliseconds);
        world.deployment.restartEntry(entry);
    },
);

When("the agents of crashed workers are killed and restart after {int} ms", (milliseconds: number) => {
    const down = world.deployment.workers.flatMap((worker, index) => worker.isUp ? [] : [index]);
    assert.ok(down.length > 0, "no worker has crashed");
    down.forEach(index => world.deployment.killAgent(index));
    world.pass(milliseconds);
    down.forEach(index => world.deployment.restartAgent(index, "record"));
});

When("workers {int}, {int} and {int} crash for another cause", (first: number, second: number, third: number) => {
    world.crashedAgents = [first, second, third];
    world.crashedAgents.forEach(index => world.deployment.fleet.crash(index));
});

When(
    /^a (tenth|fifth) of the (urgent|long) jobs of the default mix crash their workers after (\d+) ms, seed (\d+)$/,
    (share: string, kind: string, milliseconds: string, seed: string) => {
        const mixedLoad = new MixedLoad({
            entries: 4,
            workers: 11,
            rateFactor: 0.7,
            durationSeconds: 14,
            seed: Number(seed),
            ...kind === "long" ? { burstKind: kind, burstFactor: 3 } : {},
            crashingJobs: {
                kind,
                share: share === "tenth" ? 0.1 : 0.2,
                fromMilliseconds: 2000,
                untilMilliseconds: 10_000,
                crashMilliseconds: Number(milliseconds),
            },
        });
        mixedLoad.run();
        world.mixedLoad = mixedLoad;
        world.deployment = mixedLoad.deployment;
    },
);

When(
    "{int} faults occur in random order with crashing tasks and changing capacities, seed {int}",
    (count: number, seed: number) => {
        const random = new RandomSource(seed);
        world = new CrashWorld(2, 4, seed);
        const endFaults: (() => void)[] = [];
        for (let index = 0; index < count; index += 1) {
            endFaults.push(injectCrashFault(world.deployment, random));
            if (random.nextInteger(4) === 0) {
                world.submit(random.nextInteger(2), `c${index.toString(16).padStart(15, "0")}`);
            }
            world.submitHarmless(10 + random.nextInteger(20), 50 + random.nextInteger(400));
            if (random.nextInteger(2) === 0) {
                endFaults.shift()?.();
            }
        }
        endFaults.forEach(endFault => endFault());
        world.pass(15_000);
    },
);

When("the capacity of every worker shrinks to {int} cores", (cores: number) => {
    world.deployment.workers.forEach((_, index) => world.deployment.fleet.setCapacity(index, cores * 1000));
});

When("the store takes no records", () => {
    world.deployment.losesRecords = true;
});

When("every agent is killed and restarts from its record", () => {
    world.deployment.workers.forEach((_, index) => {
        world.deployment.killAgent(index);
        world.deployment.restartAgent(index, "record");
    });
});

When(
    "agent {int} is frozen while the capacity of its worker shrinks to {int} cores, and wakes after {int} ms",
    (agent: number, cores: number, milliseconds: number) => {
        world.deployment.setFrozen("agent", agent, true);
        world.deployment.fleet.dropReports(agent, true);
        world.deployment.fleet.setCapacity(agent, cores * 1000);
        world.pass(milliseconds);
        world.deployment.fleet.dropReports(agent, false);
        world.deployment.setFrozen("agent", agent, false);
    },
);

Then(
    "the crashing job has failed, and its tasks crashed at most {int} workers",
    (maximum: number) => {
        const { record } = world.deployment;
        const answers = record.answers.filter(({ job }) => job === crashingJob).map(({ answer }) => answer.kind);
        assert.equal(answers.at(-1), "failed", `answers: ${answers.join(", ")}`);
        const crashes = record.countCrashesBy(crashingJob);
        assert.ok(crashes <= maximum, `${crashes} workers crashed`);
    },
);

Then("its last {int} answers came within {int} ms", (count: number, milliseconds: number) => {
    const answers = world.deployment.record.answers.filter(({ job }) => job === crashingJob).slice(-count);
    const submittedAt = world.deployment.listSubmissions(crashingJob).slice(-count);
    assert.equal(answers.length, count);
    answers.forEach(({ answer, atMilliseconds }, index) => {
        assert.equal(answer.kind, "failed");
        assert.ok(atMilliseconds - (submittedAt[index] ?? 0) <= milliseconds, `answer ${index} came late`);
    });
});

Then("every harmless job was done", () => {
    const { answers } = world.deployment.record;
    const done = new Set(answers.filter(({ answer }) => answer.kind === "done").map(({ job }) => job));
    assert.deepEqual(world.harmlessJobs.filter(job => !done.has(job)), []);
});

Then("every run of a crashed worker was known to be lost within {int} ms", (milliseconds: number) => {
    const { crashes } = world.deployment.record;
    assert.ok(crashes.some(({ running }) => running.length > 0), "nothing ran on the crashed workers");
    for (const { running, atMilliseconds } of crashes) {
        for (const run of running) {
            const startedAt = world.deployment.record.findStart(run.job, run.task, atMilliseconds);
            assert.ok(
                startedAt !== undefined && startedAt - atMilliseconds <= milliseconds,
                `${run.job}/${run.task} started again ${
                    startedAt === undefined ? "never" : startedAt - atMilliseconds
                }`,
            );
        }
    }
});

Then("the workers that crashed have started tasks within {int} ms of their return", (milliseconds: number) => {
    for (const index of world.crashedAgents) {
        const worker = world.deployment.workers[index];
        const first = world.deployment.record.findFirstStart(worker?.name ?? "");
        assert.ok(worker?.isUp && first !== undefined, `worker ${index} has started nothing since its return`);
        const delay = first - worker.bornAtMilliseconds;
        assert.ok(delay <= milliseconds, `worker ${index} was used ${delay} ms after its return`);
    }
});

Then("at least nine tenths of the usual and the long jobs were done in time", () => {
    for (const kind of ["usual", "long"]) {
        const result = world.mixedLoad?.countJobs(kind);
        assert.ok(result !== undefined && result.inTime >= 0.9 * result.jobs, `${kind}: ${JSON.stringify(result)}`);
    }
});

Then("at least half of the refused long jobs were refused within {int} ms", (limit: number) => {
    const refused = world.mixedLoad?.listOutcomes().filter(({ kind, outcome }) => {
        return kind === "long" && outcome === "refused";
    }) ?? [];
    const early = refused.filter(job => (job.answeredAfterMilliseconds ?? Infinity) <= limit);
    assert.ok(refused.length > 0 && early.length >= refused.length / 2, `${early.length} of ${refused.length}`);
});

Then("every crashing job that was answered has failed or was refused or interrupted", () => {
    const { mixedLoad } = world;
    const { answers } = world.deployment.record;
    const done = answers.filter(({ job, answer }) => mixedLoad?.crashingJobs.has(job) && answer.kind === "done");
    assert.deepEqual(done, []);
});

Then("no other job has failed", () => {
    const { mixedLoad } = world;
    const failed = world.deployment.record.answers.filter(({ job, answer }) => {
        return answer.kind === "failed" && mixedLoad?.crashingJobs.has(job) !== true;
    });
    assert.deepEqual(failed, []);
});

Then("the guarantees hold after the crashes", () => {
    assert.deepEqual(world.deployment.record.violations, []);
});
