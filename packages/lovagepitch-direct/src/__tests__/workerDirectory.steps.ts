import { Given, Then, When } from "@cucumber/cucumber";
import { MonotonicClock } from "@lovagepitch/utils/monotonicClock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import type { WorkerRegistration } from "../model/workerStatus.js";
import { StoreReachability } from "../process/storeReachability.js";
import { decodeRegistration, WorkerDirectory } from "../process/workerDirectory.js";
import { MemoryRows } from "./memoryRows.js";

const maximumWaitMilliseconds = 5000;

let rows = new MemoryRows();
let directory = createDirectory();

function createDirectory(): WorkerDirectory {
    const reachability = new StoreReachability({ write: () => undefined });
    return new WorkerDirectory(rows, "side-1", new MonotonicClock(), reachability, new RandomSource(1));
}

function createRegistration(id: string): WorkerRegistration {
    const capacity = { milliCores: 16_000, memoryMegabytes: 32_768, accelerators: 0 };
    return { id, startedAt: 1_764_000_000_000, service: "drives", capacity, labels: ["a", "rack-1"] };
}

async function waitUntilRecorded(id: string | undefined): Promise<void> {
    const waitEndsAt = performance.now() + maximumWaitMilliseconds;
    while ((await createDirectory().readRecorded())?.id !== id) {
        assert(performance.now() < waitEndsAt, `the recorded worker is not ${id}`);
        await delay(20);
    }
}

Given("an agent that has recorded worker {string}", { timeout: 2 * maximumWaitMilliseconds }, async (id: string) => {
    rows = new MemoryRows();
    directory = createDirectory();
    directory.record(createRegistration(id));
    await waitUntilRecorded(id);
});

Given("an agent whose next write to the store is delayed", () => {
    rows = new MemoryRows();
    rows.delayedWrites = 1;
    directory = createDirectory();
});

When("the agent records worker {string}", { timeout: 2 * maximumWaitMilliseconds }, async (id: string) => {
    directory.record(createRegistration(id));
    const waitEndsAt = performance.now() + maximumWaitMilliseconds;
    while (rows.delayedWrites > 0) {
        assert(performance.now() < waitEndsAt, "the worker was not written");
        await delay(5);
    }
});

When("the agent records that no worker may be restored", { timeout: 2 * maximumWaitMilliseconds }, async () => {
    directory.record(undefined);
    await waitUntilRecorded(undefined);
    // The row is written even when it does not exist.
    await delay(700);
});

When("the agent records that no worker may be restored while the store is down", async () => {
    directory.record(undefined);
    await delay(50);
});

When("the delayed write takes effect", () => rows.executeDelayedWrites());

When("the store stops answering", () => {
    rows.isDown = true;
});

When("the store answers again", { timeout: 2 * maximumWaitMilliseconds }, async () => {
    rows.isDown = false;
    await waitUntilRecorded(undefined);
});

Then("a restarted process of the agent restores {string}", async (id: string) => {
    assert.deepEqual(await createDirectory().readRecorded(), createRegistration(id));
});

Then("a restarted process of the agent restores no worker", async () => {
    assert.equal(await createDirectory().readRecorded(), undefined);
});

Then("a restarted process that records worker {string} writes nothing", async (id: string) => {
    const restarted = createDirectory();
    await restarted.readRecorded();
    const { calls } = rows;
    restarted.record(createRegistration(id));
    await delay(2500);
    assert.equal(rows.calls, calls);
});

Then(/^the row (.+) names no worker$/, (row: string) => {
    assert.equal(decodeRegistration(JSON.parse(row)), undefined);
});
