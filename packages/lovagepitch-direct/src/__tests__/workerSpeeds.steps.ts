import { Given, Then, When } from "@cucumber/cucumber";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import assert from "node:assert/strict";
import { ExpectedCompletionSelection } from "../policies/expectedCompletionSelection.js";
import { measureSlowWorkerSpeed } from "../policies/runProgress.js";
import { RunSpeed } from "../policies/runSpeed.js";
import type { WorkerCandidate } from "../policies/workerSelection.js";
import { type SpeedReport, WorkerSpeeds } from "../policies/workerSpeeds.js";
import { AgentDriver, createOrder, createReport, entryAddress } from "./agentDriver.js";

let runSpeed = new RunSpeed();
let reports: SpeedReport[] = [];
let driver = new AgentDriver(false);

function drawNormal(random: RandomSource): number {
    return Math.sqrt(-2 * Math.log(1 - random.nextFraction())) * Math.cos(2 * Math.PI * random.nextFraction());
}

function isWithin(figure: number, from: number, to: number): void {
    assert.ok(figure >= from && figure <= to, String(figure));
}

/** Computes the speeds of the reported workers, as an entry does. */
function computeSpeeds(): WorkerSpeeds {
    const speeds = new WorkerSpeeds();
    speeds.refresh(() => reports, 0);
    return speeds;
}

When(
    "a worker of speed {float} ends {int} runs with estimates off by {float}, of which {int} percent take {int} times as long",
    (speed: number, runs: number, deviation: number, percent: number, factor: number) => {
        const random = new RandomSource(3);
        runSpeed = new RunSpeed();
        for (let run = 0; run < runs; run += 1) {
            const work = 200 * (random.nextFraction() < percent / 100 ? factor : 1);
            runSpeed.record(work / speed, 200 * Math.exp(deviation * drawNormal(random)));
        }
    },
);

function recordRuns(runs: number, ranMilliseconds: number, estimatedMilliseconds: number): void {
    for (let run = 0; run < runs; run += 1) {
        runSpeed.record(ranMilliseconds, estimatedMilliseconds);
    }
}

When(
    "a worker ends {int} runs of {int} ms that were estimated at {int} ms",
    (runs: number, ran: number, estimated: number) => {
        runSpeed = new RunSpeed();
        recordRuns(runs, ran, estimated);
    },
);

When("it ends {int} runs of {int} ms that were estimated at {int} ms", recordRuns);

When(
    "a worker ends alternating runs of {int} and {int} ms that were estimated at {int} ms",
    (first: number, second: number, estimated: number) => {
        runSpeed = new RunSpeed();
        for (let run = 0; run < 60; run += 1) {
            runSpeed.record(run % 2 === 0 ? first : second, estimated);
        }
    },
);

Then("its speed is {word}", (verdict: string) => {
    assert.equal(runSpeed.verdict, verdict);
    assert.equal(runSpeed.value !== undefined, verdict === "known");
});

Then("its speed is known as {float} to {float}", (from: number, to: number) => {
    assert.equal(runSpeed.verdict, "known");
    isWithin(runSpeed.value ?? 0, from, to);
});

Given(
    "workers of kind a, a and b that report {float}, {float} and {float} times {float}",
    (first: number, second: number, third: number, bias: number) => {
        reports = [
            { agent: "a1", labels: ["rack=1", "kind=a"], speed: first * bias },
            { agent: "a2", labels: ["kind=a", "rack=1"], speed: second * bias },
            { agent: "b1", labels: ["kind=b", "rack=1"], speed: third * bias },
        ];
    },
);

Given(
    /^workers of (kinds a and b|kind a) in (\d+) racks of (\d+), all of speed 1 but for a noise of (\d+) percent by rack$/,
    (kinds: string, rackCount: string, workersInRack: string, percent: string) => {
        const [racks, workers] = [Number(rackCount), Number(workersInRack)];
        reports = Array.from({ length: racks * workers }, (_, index) => {
            const rack = index % racks;
            const kind = kinds === "kind a" || index < racks * 2 ? "a" : "b";
            const noise = [0, -0.5, 0.5][rack % 3] ?? 0;
            return { agent: `w${index}`, labels: [kind, `r${rack}`], speed: 1 + noise * Number(percent) / 100 };
        });
    },
);

Then("the speeds of all workers are {float} to {float}", (from: number, to: number) => {
    const speeds = computeSpeeds();
    reports.forEach(({ agent }) => isWithin(speeds.get(agent), from, to));
});

When("a worker of kind b and one of kind c join without a figure", () => {
    reports.push(
        { agent: "b2", labels: ["rack=1", "kind=b"], speed: undefined },
        { agent: "c2", labels: ["kind=c", "rack=1"], speed: undefined },
    );
});

Then("the speed of a worker of kind {word} is {float} to {float}", (kind: string, from: number, to: number) => {
    isWithin(computeSpeeds().get(`${kind}1`), from, to);
});

Then("the speed of the new worker of kind {word} is {float} to {float}", (kind: string, from: number, to: number) => {
    isWithin(computeSpeeds().get(`${kind}2`), from, to);
});

Given("{int} workers of kind a that report {float} and one that reports {float}", (
    count: number,
    figure: number,
    lie: number,
) => {
    reports = Array.from({ length: count }, (_, index) => ({
        agent: `honest-${index}`,
        labels: ["kind=a"],
        speed: figure,
    }));
    reports.push({ agent: "last", labels: ["kind=a"], speed: lie });
});

Then("the speed of the last worker is {float} to {float}", (from: number, to: number) => {
    isWithin(computeSpeeds().get("last"), from, to);
});

Then("the speeds of the others are {float} to {float}", (from: number, to: number) => {
    const speeds = computeSpeeds();
    for (const { agent } of reports.slice(0, -1)) {
        isWithin(speeds.get(agent), from, to);
    }
});

Then(
    "with {int} ms to spare a task of {int} ms, with {}, goes to {}",
    (spare: number, longest: number, room: string, choice: string) => {
        const createCandidate = (agent: string, speed: number, milliCores: number): WorkerCandidate => ({
            agent,
            speed,
            available: { milliCores, memoryMegabytes: 1000, accelerators: 0 },
            isInOwnZone: true,
            isOnTrial: false,
        });
        const candidates = [
            createCandidate("slow", 0.7, room === "no room" ? 0 : 16_000),
            createCandidate("fast", 1.7, room === "room on both" ? 8000 : 0),
        ];
        const task = {
            needs: { milliCores: 1000, memoryMegabytes: 1, accelerators: 0 },
            estimatedMilliseconds: longest,
            longestMilliseconds: longest,
            spareMilliseconds: spare,
        };
        const chosen = new ExpectedCompletionSelection().choose(candidates, task, new RandomSource(1));
        assert.equal(chosen?.agent ?? "nobody", choice === "the roomiest" ? "slow" : choice);
    },
);

function measureRuns(speed: number, ended: readonly number[], usualSpeed: number, runs = 6): number | undefined {
    const run = { percent: speed * 50, elapsedMilliseconds: 100, estimatedMilliseconds: 200 };
    return measureSlowWorkerSpeed(Array.from({ length: runs }, () => run), ended, usualSpeed);
}

Then("runs at half the estimated speed are healthy on a worker of usual speed {float}", (usual: number) => {
    assert.equal(measureRuns(0.5, [], usual), undefined);
});

Then("runs at a fifth of the estimated speed are slow on a worker of usual speed {float}", (usual: number) => {
    assert.equal(measureRuns(0.2, [], usual), 0.2);
});

Then(
    "{int} long runs among {int} ordinary ones that have ended do not make a worker slow",
    (long: number, ended: number) => {
        assert.equal(measureRuns(1 / 7, Array.from({ length: ended }, () => 1), 1, long), undefined);
        assert.notEqual(measureRuns(1 / 7, [], 1, long), undefined);
    },
);

Given("an agent whose worker has ended {int} runs at half the estimated speed", (runs: number) => {
    driver = new AgentDriver(false);
    driver.accept({ kind: "worker-reported", report: { ...createReport("life-1"), startedAt: 1000 } });
    driver.answerView({ running: [], ended: [], startedAt: 1000 });
    driver.connectEntry();
    for (let index = 0; index < runs; index += 1) {
        const order = createOrder(`job-${index}`);
        const run = { job: order.job, task: 0, run: 1 };
        driver.receiveStarts([order]);
        driver.accept({ kind: "start-answered", life: 1, run, outcome: "accepted" });
        driver.advance(2 * order.estimatedMilliseconds);
        const ended = [{ ...run, sequence: index + 1, end: "succeeded" as const }];
        driver.answerView({ running: [], ended, startedAt: 1000 });
    }
});

When("its worker starts again under its id", () => {
    driver.accept({ kind: "worker-reported", report: { ...createReport("life-1"), startedAt: 2000, sequence: 1 } });
    driver.answerView({ running: [], ended: [], startedAt: 2000 });
    driver.advance(300);
});

When("its worker is replaced by a new incarnation", () => {
    driver.accept({ kind: "worker-left", worker: "life-1" });
    driver.accept({ kind: "worker-reported", report: createReport("life-2") });
    driver.answerView({ running: [], ended: [] });
    driver.advance(300);
});

function readReportedSpeed(): number | undefined {
    const frames = driver.outputs.flatMap(output => {
        return output.kind === "frame" && output.address === entryAddress ? [output.frame] : [];
    });
    return frames.at(-1)?.worker?.speed;
}

Then("it reports the speed {float} to {float}", (from: number, to: number) => {
    isWithin(readReportedSpeed() ?? 0, from, to);
});

Then("it reports no speed", () => {
    assert.equal(readReportedSpeed(), undefined);
});
