import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { WorkerReport } from "../model/workerStatus.js";
import { AgentDriver, createOrder, createReport } from "./agentDriver.js";

const worker = "life-1";

let agent = new AgentDriver(false);
let orders = 0;

function report(change: Partial<WorkerReport>): void {
    agent.accept({ kind: "worker-reported", report: { ...createReport(worker), workerClock: agent.now, ...change } });
    agent.answerView({ running: [], ended: [] });
    agent.advance(10);
}

function createCapacity(cores: number) {
    return { milliCores: cores * 1000, memoryMegabytes: 32_768, accelerators: 0 };
}

Given("an agent whose worker has reported {int} cores as number {int}", (cores: number, sequence: number) => {
    agent = new AgentDriver(false);
    report({ capacity: createCapacity(cores), sequence });
    agent.connectEntry();
});

Given("an agent that has heard only another writer", () => {
    agent = new AgentDriver(false);
    report({ service: "other", sequence: 100_000 });
    agent.connectEntry();
});

When(
    /^another writer reports service "(.*)" and (\d+) cores as number (\d+), (ready|draining)$/,
    (service: string, cores: string, sequence: string, state: string) => {
        const capacity = createCapacity(Number(cores));
        report({ service, capacity, sequence: Number(sequence), isDraining: state === "draining" });
    },
);

When("the worker reports {int} cores as number {int}", (cores: number, sequence: number) => {
    report({ capacity: createCapacity(cores), sequence });
});

When("the worker reports as number {int} that it drains", (sequence: number) => {
    report({ sequence, isDraining: true });
});

When("an entry orders a task of {int} cores from that worker", (cores: number) => {
    orders += 1;
    const order = createOrder(`c${orders}`);
    agent.receiveStarts([{ ...order, needs: { ...order.needs, milliCores: cores * 1000 } }]);
    agent.advance(1);
});

Then(/^that task is (started|not started)$/, (result: string) => {
    const started = agent.outputs.filter(output => output.kind === "start" && output.order.job === `c${orders}`);
    assert.equal(started.length, result === "started" ? 1 : 0);
});
