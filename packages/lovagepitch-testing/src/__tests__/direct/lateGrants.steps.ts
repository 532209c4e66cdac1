import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";
import { getAt } from "../../direct/getAt.js";
import { setFault } from "./directFaults.js";

const taskMilliseconds = 4000;

/** Time in which the agents send starts and repeat them before they end, in milliseconds; shorter than that for an answer. */
const orderingMilliseconds = 30;

/** Time for which runs are observed after the late starts, in milliseconds. */
const observedMilliseconds = 2500;

/** What was seen of a worker. */
interface Observation {
    readonly starts: number;
    /** Instant of the last start, in milliseconds; undefined before the first one. */
    readonly lastStartAt: number | undefined;
    /** True once all its first runs have ended. */
    readonly hasEnded: boolean;
}

const noObservation: Observation = { starts: 0, lastStartAt: undefined, hasEnded: false };

/** Longest time for which a view call waits while tasks run, in milliseconds. */
const viewWaitMilliseconds = 75;

/** Workers whose agents end or are paused. */
const affected = [0, 1];

let deployment = createDeployment();
let orderedAt = 0;
/** What was seen of each affected worker. */
let observations = new Map<number, Observation>();
/** Longest time after the last late start for which an affected worker was busy, in milliseconds; -1 without a start. */
let longestMilliseconds = -1;

function createDeployment(): DirectDeployment {
    return new DirectDeployment({
        entries: 2,
        workers: 4,
        milliCores: 16_000,
        seed: 1,
        getTaskDurationMilliseconds: () => taskMilliseconds,
    });
}

function createLateWorkers(): void {
    deployment = createDeployment();
    longestMilliseconds = -1;
    observations = new Map();
    deployment.workers.forEach((_, index) => {
        setFault(deployment, index, {
            rejectsStops: true,
            ignoresLatestStart: true,
            lateStartsCountFromArrival: true,
            lateViewsCountFromArrival: true,
        });
    });
    deployment.advance(500);
}

Given(
    "4 workers that execute starts late, refuse stops, and count the time of a start from its execution",
    createLateWorkers,
);

function orderStarts(job: string): void {
    orderedAt = deployment.clock.nowMilliseconds();
    deployment.submit(0, {
        id: job,
        taskCount: 8,
        estimatedMilliseconds: taskMilliseconds,
        callerWaitMilliseconds: 20_000,
    });
}

/** Observes the workers each millisecond until the given time after the orders, each of them until its first runs have ended. */
function observeUntil(milliseconds: number): void {
    while (deployment.clock.nowMilliseconds() < orderedAt + milliseconds) {
        deployment.advance(1);
        affected.forEach(observe);
    }
}

function observe(index: number): void {
    const now = deployment.clock.nowMilliseconds();
    const worker = getAt(deployment.workers, index);
    worker.advance();
    const { starts, lastStartAt, hasEnded } = observations.get(index) ?? noObservation;
    const count = deployment.record.listStarts(worker.name).length;
    const startedAt = count > starts ? now : lastStartAt;
    if (startedAt !== undefined && !hasEnded) {
        longestMilliseconds = Math.max(longestMilliseconds, now - startedAt);
        observations.set(index, { starts: count, lastStartAt: startedAt, hasEnded: !worker.isBusy });
    }
}

function orderLateStarts(lateMilliseconds: number): void {
    deployment.workers.forEach((_, index) => setFault(deployment, index, { orderDelayMilliseconds: lateMilliseconds }));
    orderStarts("c000000000000001");
    deployment.advance(orderingMilliseconds);
}

When(
    "starts are executed {int} ms late, and agents 0 and 1 end for good meanwhile",
    (lateMilliseconds: number) => {
        orderLateStarts(lateMilliseconds);
        affected.forEach(index => deployment.killAgent(index));
        observeUntil(lateMilliseconds + observedMilliseconds);
    },
);

When(
    "starts are executed {int} ms late, and agents 0 and 1 end and are back {int} ms after that",
    (lateMilliseconds: number, backMilliseconds: number) => {
        orderLateStarts(lateMilliseconds);
        affected.forEach(index => deployment.killAgent(index));
        observeUntil(orderingMilliseconds + lateMilliseconds + backMilliseconds);
        affected.forEach(index => deployment.restartAgent(index, "record"));
        observeUntil(lateMilliseconds + observedMilliseconds);
    },
);

When(
    "starts are executed {int} ms late, and agents 0 and 1 are paused and resume {int} ms after that",
    (lateMilliseconds: number, backMilliseconds: number) => {
        orderLateStarts(lateMilliseconds);
        affected.forEach(index => deployment.setFrozen("agent", index, true));
        observeUntil(orderingMilliseconds + lateMilliseconds + backMilliseconds);
        affected.forEach(index => deployment.setFrozen("agent", index, false));
        observeUntil(lateMilliseconds + observedMilliseconds);
    },
);

When(
    /^agents 0 and 1 order starts, and end with their workers, whose later lives execute them after (\d+) ms; the agents are (.+)$/,
    (lateMilliseconds: string, back: string) => {
        orderLateStarts(Number(lateMilliseconds));
        for (const index of affected) {
            deployment.killAgent(index);
            const formerClock = getAt(deployment.workers, index).workerClock;
            deployment.fleet.restartWithSameId(index, false);
            setFault(deployment, index, { rejectsStops: true });
            // The clock of the later life shows less, so that it does not reject the orders as late.
            assert.ok(getAt(deployment.workers, index).workerClock < formerClock);
        }
        const backMilliseconds = /^back (\d+) ms/.exec(back)?.[1];
        if (backMilliseconds !== undefined) {
            observeUntil(orderingMilliseconds + Number(lateMilliseconds) + Number(backMilliseconds));
            affected.forEach(index => deployment.restartAgent(index, "record"));
        }
        observeUntil(Number(lateMilliseconds) + observedMilliseconds);
    },
);

/** Lets agents order starts some time after a view call, and end; starts and view calls are executed late. */
function lateViewAndStarts(phaseMilliseconds: number): void {
    createLateWorkers();
    orderStarts("c000000000000003");
    deployment.advance(300 + phaseMilliseconds);
    deployment.workers.forEach((_, index) => setFault(deployment, index, { unansweredCallInterval: 1 }));
    orderStarts("c000000000000001");
    // Longer than a view call waits while tasks run.
    deployment.advance(90);
    affected.forEach(index => deployment.killAgent(index));
    deployment.advance(2000);
    for (const index of affected) {
        const starts = deployment.record.listStarts(getAt(deployment.workers, index).name).length;
        observations.set(index, { starts, lastStartAt: undefined, hasEnded: false });
    }
    observeUntil(2500 + observedMilliseconds);
}

When(
    "agents 0 and 1 end for good after view calls and starts, at any time in between, that are executed 2500 ms late",
    () => {
        let longest = -1;
        for (let phase = 0; phase < viewWaitMilliseconds; phase += 5) {
            lateViewAndStarts(phase);
            longest = Math.max(longest, longestMilliseconds);
        }
        longestMilliseconds = longest;
    },
);

Then(
    "tasks have started late, and none went on for more than {int} ms after the last late start on its worker",
    (milliseconds: number) => {
        assert.ok(longestMilliseconds > 0, "no task has started");
        assert.ok(longestMilliseconds <= milliseconds, `${longestMilliseconds} ms`);
    },
);

Then(
    "tasks have started late, and some went on for {int} to {int} ms after the last late start on its worker",
    (shortest: number, longest: number) => {
        assert.ok(longestMilliseconds >= shortest && longestMilliseconds <= longest, `${longestMilliseconds} ms`);
    },
);

Then("no task has started late", () => {
    assert.ok(
        affected.every(index => deployment.record.listStarts(getAt(deployment.workers, index).name).length === 0),
    );
});
