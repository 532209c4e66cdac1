import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { PlatformFaults } from "../standIns/platformFaults.js";
import { FaultPoint, withFaultPoint } from "./platformServer.faultPoint.js";
import { createRepositories, type PlatformFixture, startPlatform } from "./platformServer.fixture.js";
import { operations, type PlatformOperation } from "./platformServer.operations.js";

/** More calls than any operation makes. */
const mostSteps = 40;
const shortTimeoutMilliseconds = 50;
const slowMilliseconds = 80;

interface FaultCase {
    readonly switchOn: (faults: PlatformFaults) => void;
    readonly switchOff: (faults: PlatformFaults) => void;
    /** What an operation may answer when a step met the fault. */
    readonly allowed: "success" | "unavailable" | "either";
}

const clear = (faults: PlatformFaults): void => faults.clear();
const keep = (): void => undefined;

const faultCases: Readonly<Record<string, FaultCase>> = {
    "down for one call": { switchOn: faults => faults.set({ down: true }), switchOff: clear, allowed: "either" },
    "down from then on": { switchOn: faults => faults.set({ down: true }), switchOff: keep, allowed: "unavailable" },
    "slow for one call": {
        switchOn: faults => faults.set({ slowMilliseconds }),
        switchOff: clear,
        allowed: "either",
    },
    "answer lost": { switchOn: faults => faults.set({ lostAnswers: 1 }), switchOff: keep, allowed: "success" },
    "two answers lost": { switchOn: faults => faults.set({ lostAnswers: 2 }), switchOff: keep, allowed: "success" },
    "request lost": { switchOn: faults => faults.set({ lostRequests: 1 }), switchOff: keep, allowed: "success" },
    "two requests lost": { switchOn: faults => faults.set({ lostRequests: 2 }), switchOff: keep, allowed: "success" },
    "write applied late": { switchOn: faults => faults.set({ heldWrites: 1 }), switchOff: keep, allowed: "success" },
};

interface Expectation {
    readonly result: unknown;
    readonly effect: unknown;
}

interface StepOutcome {
    readonly step: number;
    readonly succeeded: boolean;
}

let stepOutcomes: readonly StepOutcome[] = [];

/** What the operation answers and changes without a fault. */
async function runWithoutFault(operation: PlatformOperation): Promise<Expectation> {
    const platform = await startPlatform("memory");
    await operation.prepare(createRepositories(platform));
    const result = (await operation.run(createRepositories(platform))).unwrap();
    return { result, effect: await operation.observe(createRepositories(platform)) };
}

async function meetFaultAt(
    step: number,
    operation: PlatformOperation,
    faultCase: FaultCase,
    platform: PlatformFixture,
    clean: PlatformFixture,
    expected: Expectation,
): Promise<StepOutcome | undefined> {
    const { faults } = platform;
    await operation.prepare(createRepositories(clean));
    const point = new FaultPoint(step, () => faultCase.switchOn(faults), () => faultCase.switchOff(faults));
    const first = await operation.run(createRepositories(withFaultPoint(platform, clean, point)));
    faults.clear();
    if (!point.wasReached) {
        return undefined;
    }
    if (first.ok) {
        assert.notEqual(faultCase.allowed, "unavailable", `step ${step}: success without a platform`);
        assert.deepEqual(first.val, expected.result, `step ${step}: first result`);
    }
    else {
        assert.notEqual(faultCase.allowed, "success", `step ${step}: ${first.val.message}`);
        assert.equal((first.val as Error & { kind: string }).kind, "unavailable", `step ${step}: ${first.val.message}`);
    }
    faults.releaseHeldWrites();
    if (first.ok) {
        assert.deepEqual(await operation.observe(createRepositories(clean)), expected.effect, `step ${step}: effect`);
    }
    const second = await operation.run(createRepositories(clean));
    assert.deepEqual(second.unwrap(), expected.result, `step ${step}: repeated result`);
    assert.deepEqual(await operation.observe(createRepositories(clean)), expected.effect, `step ${step}: final effect`);
    return { step, succeeded: first.ok };
}

When(
    "every step of {string} meets a {string} platform that is {string}",
    { timeout: 120_000 },
    async (operationName: string, kind: string, fault: string) => {
        const operation = operations[operationName];
        const faultCase = faultCases[fault];
        assert.ok(operation !== undefined && faultCase !== undefined);
        const expected = await runWithoutFault(operation);
        const isSlow = fault === "slow for one call";
        stepOutcomes = [];
        for (let step = 1; step <= mostSteps; step += 1) {
            const platform = await startPlatform(kind, isSlow ? shortTimeoutMilliseconds : undefined);
            const clean = platform.withAmpleTimeout();
            const outcome = await meetFaultAt(step, operation, faultCase, platform, clean, expected);
            await platform.close();
            if (outcome === undefined) {
                break;
            }
            stepOutcomes = [...stepOutcomes, outcome];
        }
    },
);

Then("the platform operation has at least {int} step(s), and each kept its promise", (steps: number) => {
    assert.ok(stepOutcomes.length >= steps, `${stepOutcomes.length} steps`);
    assert.ok(stepOutcomes.length < mostSteps);
});
