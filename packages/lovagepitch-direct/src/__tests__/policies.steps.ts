import { Given, Then, When } from "@cucumber/cucumber";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import assert from "node:assert/strict";
import type { DirectJob } from "../model/directJob.js";
import { computeJobDeadlines } from "../policies/jobDeadlines.js";
import { computeRetryAfterSeconds, DrainRate } from "../policies/retryAfter.js";
import { measureSlowWorkerSpeed, shouldRescheduleRun } from "../policies/runProgress.js";
import { RunTimeDistribution } from "../policies/runTimeDistribution.js";
import { SpreadSelection } from "../policies/spreadSelection.js";
import { getMaximumRuns, initialWorkerHealth, recordFailure, recordSuccess } from "../policies/workerHealth.js";
import type { WorkerCandidate } from "../policies/workerSelection.js";
import { listEntries } from "../process/entryDirectory.js";
import { findShutdownPhase } from "../process/shutdownPhase.js";

const failuresUntilPause = 2;
const needs = { milliCores: 1600, memoryMegabytes: 64, accelerators: 0 };
const selection = new SpreadSelection();

/** A task with time to be run on another worker if the first one proves slow, and one without. */
const patientTask = { needs, estimatedMilliseconds: 200, longestMilliseconds: 200, spareMilliseconds: 201 };
const hurriedTask = { needs, estimatedMilliseconds: 200, longestMilliseconds: 200, spareMilliseconds: 200 };

let stretch = 1;
let allowanceMilliseconds = 0;
let health = initialWorkerHealth;
let now = 0;

function createJob(callerWaitMilliseconds: number): DirectJob {
    return {
        id: "0000000000000001",
        route: "route-a",
        service: "service-a",
        priority: 0,
        specification: "",
        taskCount: 1,
        needs,
        estimatedMilliseconds: 0,
        requiredLabel: undefined,
        maximumPerWorker: 1,
        stretch,
        allowanceMilliseconds,
        maximumAttempts: 3,
        callerWaitMilliseconds,
    };
}

function createCandidate(agent: string, milliCores: number, isOnTrial: boolean): WorkerCandidate {
    return { agent, available: { ...needs, milliCores }, isInOwnZone: false, isOnTrial, speed: 1 };
}

Given("a route with a stretch of {float} and an allowance of {int} ms", (multiple: number, allowance: number) => {
    stretch = multiple;
    allowanceMilliseconds = allowance;
});

Then(
    "a job of {int} ms tasks can start {int} ms after its arrival and still end on time",
    (longest: number, slack: number) => {
        assert.equal(Math.round(computeJobDeadlines(createJob(60_000), 1000, longest).latestStart), 1000 + slack);
    },
);

Then("a job of {int} ms tasks expires {int} ms after its arrival", (longest: number, limit: number) => {
    assert.equal(Math.round(computeJobDeadlines(createJob(60_000), 1000, longest).expiresAt), 1000 + limit);
});

Then(
    "a job of {int} ms tasks whose caller waits {int} ms expires {int} ms after its arrival",
    (longest: number, wait: number, limit: number) => {
        assert.equal(Math.round(computeJobDeadlines(createJob(wait), 1000, longest).expiresAt), 1000 + limit);
    },
);

When(
    /^a worker fails runs of (\d+) jobs( that failed elsewhere)?$/,
    (count: string, elsewhere: string | null) => {
        health = initialWorkerHealth;
        now = 0;
        for (let index = 0; index < Number(count); index += 1) {
            health = recordFailure(health, `job-${index}`, Boolean(elsewhere), now, failuresUntilPause);
        }
    },
);

When("it fails one more run", () => {
    health = recordFailure(health, "job-9", false, now, failuresUntilPause);
});

When("a run succeeds", () => {
    health = recordSuccess(health);
});

When("its pause of {int} ms has passed", (milliseconds: number) => {
    assert.equal(getMaximumRuns(health, now + milliseconds - 1), 0);
    now += milliseconds;
});

Then(/^it may run (\d+) tasks?$/, (count: string) => {
    assert.equal(getMaximumRuns(health, now), Number(count));
});

Then("it may run any number of tasks", () => {
    assert.equal(getMaximumRuns(health, now), Number.POSITIVE_INFINITY);
});

Then(
    "{int} entries that choose among {int} equal workers choose each of them at least {int} times",
    (entries: number, workers: number, minimum: number) => {
        const random = new RandomSource(5);
        const chosen = new Map<string, number>();
        for (let entry = 0; entry < entries; entry += 1) {
            const candidates = Array.from({ length: workers }, (_, index) => createCandidate(`w${index}`, 8000, false));
            const agent = selection.choose(candidates, hurriedTask, random)?.agent ?? "";
            chosen.set(agent, (chosen.get(agent) ?? 0) + 1);
        }
        assert.equal(chosen.size, workers);
        assert.ok([...chosen.values()].every(count => count >= minimum), JSON.stringify([...chosen]));
    },
);

Then("a task with time to spare goes to a worker on trial", () => {
    const candidates = [createCandidate("healthy", 16_000, false), createCandidate("trial", 2000, true)];
    assert.equal(selection.choose(candidates, patientTask, new RandomSource(1))?.agent, "trial");
});

Then("a task without time to spare goes to a worker on trial only when no other has capacity", () => {
    const trial = createCandidate("trial", 16_000, true);
    const free = selection.choose([createCandidate("healthy", 2000, false), trial], hurriedTask, new RandomSource(1));
    const full = selection.choose([createCandidate("healthy", 100, false), trial], hurriedTask, new RandomSource(1));
    assert.deepEqual([free?.agent, full?.agent], ["healthy", "trial"]);
});

Then(
    "{int} core-milliseconds that drain at {int} each millisecond give a retry delay of {int} s",
    (work: number, rate: number, seconds: number) => {
        assert.equal(computeRetryAfterSeconds(work, rate), seconds);
    },
);

Then(
    "{int} core-milliseconds that end each millisecond for {int} s are measured as {int} within {int}",
    (work: number, seconds: number, expected: number, tolerance: number) => {
        const rate = new DrainRate(0);
        for (let at = 0; at < seconds * 1000; at += 1) {
            rate.record(work, at);
        }
        assert.ok(Math.abs(rate.read(seconds * 1000) - expected) <= tolerance);
    },
);

Then(
    "on a {word} worker a run of {int} ms with {int} percent after {int} ms, unchanged for {int} ms, is {word}",
    (worker: string, estimated: number, percent: number, age: number, unchanged: number, decision: string) => {
        const speed = worker === "slow" ? 0.2 : undefined;
        const isRescheduled = shouldRescheduleRun({ percent, age, unchanged, estimated }, speed, worker === "trial");
        assert.equal(isRescheduled, decision === "rescheduled");
    },
);

Then(
    /^runs at ([\d, and]+) percent of the expected progress (make|do not make) a worker slow$/,
    (shares: string, verdict: string) => {
        const runs = (shares.match(/\d+/g) ?? []).map(share => ({
            percent: Number(share) / 2,
            elapsedMilliseconds: 100,
            estimatedMilliseconds: 200,
        }));
        assert.equal(measureSlowWorkerSpeed(runs, [], 1) !== undefined, verdict === "make");
    },
);

Then(
    "after {int} run times between {float} and {float} of the estimate the longest of {int} is expected at {float} to {float}",
    (count: number, minimumRatio: number, maximumRatio: number, tasks: number, from: number, to: number) => {
        const distribution = new RunTimeDistribution();
        const random = new RandomSource(3);
        for (let index = 0; index < count; index += 1) {
            distribution.record(100 * (minimumRatio + random.nextFraction() * (maximumRatio - minimumRatio)), 100);
        }
        const expected = distribution.estimateLongestMilliseconds(tasks, 100) / 100;
        assert.ok(expected >= from && expected <= to, `${expected}`);
    },
);

Then(
    "before any run time the longest of {int} is expected at {float} to {float}",
    (tasks: number, from: number, to: number) => {
        const expected = new RunTimeDistribution().estimateLongestMilliseconds(tasks, 100) / 100;
        assert.ok(expected >= from && expected <= to, `${expected}`);
    },
);

Then(
    "{int} ms into a shutdown of {int} ms with {int} open requests and {int} connections the phase is {word}",
    (elapsed: number, kill: number, requests: number, connections: number, phase: string) => {
        assert.equal(findShutdownPhase(elapsed, kill, requests, connections), phase);
    },
);

Then("of the rows of entries only those that are complete and recent yield an address", () => {
    const values: readonly unknown[] = [
        { address: "10.1.0.3:7720", writtenAt: 90_000 },
        { address: "10.1.0.4:7720", writtenAt: 10_000 },
        { address: "somewhere", writtenAt: 90_000 },
        { address: "10.1.0.5:7720" },
        undefined,
        7,
        "text",
    ];
    const rows = values.map((value, index) => ({ isRemoved: false, key: String(index), value }));
    const entries = listEntries({ rows, version: 9, storeMilliseconds: 100_000 });
    assert.deepEqual(entries.map(entry => entry.address), ["10.1.0.3:7720"]);
});
