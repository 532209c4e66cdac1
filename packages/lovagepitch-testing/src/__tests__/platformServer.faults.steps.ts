import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { PlatformFaults } from "../standIns/platformFaults.js";
import { FaultPoint, withFaultPoint } from "./platformServer.faultPoint.js";
import { createRepositories, type PlatformFixture, startPlatform } from "./platformServer.fixture.js";
import { operations, type PlatformOperation } from "./platformServer.operations.js";

/** Upper limit of calls to try; every operation makes fewer. */
const maximumCallCount = 40;
const shortRequestTimeoutMilliseconds = 50;
const slowCallMilliseconds = 80;

interface FaultCase {
    readonly switchOn: (faults: PlatformFaults) => void;
    readonly switchOff: (faults: PlatformFaults) => void;
    /** Results that the operation may return when one of its calls meets the fault. */
    readonly allowed: "success" | "unavailable" | "either";
}

const clearFaults = (faults: PlatformFaults): void => faults.clear();
const keepFaults = (): void => undefined;

const faultCases: Readonly<Record<string, FaultCase>> = {
    "down for one call": { switchOn: faults => faults.set({ down: true }), switchOff: clearFaults, allowed: "either" },
    "down from that call on": {
        switchOn: faults => faults.set({ down: true }),
        switchOff: keepFaults,
        allowed: "unavailable",
    },
    "slow for one call": {
        switchOn: faults => faults.set({ slowMilliseconds: slowCallMilliseconds }),
        switchOff: clearFaults,
        allowed: "either",
    },
    "response lost": { switchOn: faults => faults.set({ lostAnswers: 1 }), switchOff: keepFaults, allowed: "success" },
    "two responses lost": {
        switchOn: faults => faults.set({ lostAnswers: 2 }),
        switchOff: keepFaults,
        allowed: "success",
    },
    "request lost": { switchOn: faults => faults.set({ lostRequests: 1 }), switchOff: keepFaults, allowed: "success" },
    "two requests lost": {
        switchOn: faults => faults.set({ lostRequests: 2 }),
        switchOff: keepFaults,
        allowed: "success",
    },
    "write applied late": {
        switchOn: faults => faults.set({ heldWrites: 1 }),
        switchOff: keepFaults,
        allowed: "success",
    },
};

interface Expectation {
    readonly result: unknown;
    readonly effect: unknown;
}

interface CallOutcome {
    readonly call: number;
    readonly succeeded: boolean;
}

let callOutcomes: readonly CallOutcome[] = [];

/** Returns the result and the effect of the operation without a fault. */
async function runWithoutFault(operation: PlatformOperation): Promise<Expectation> {
    const platform = await startPlatform("memory");
    await operation.prepare(createRepositories(platform));
    const result = (await operation.run(createRepositories(platform))).unwrap();
    return { result, effect: await operation.observe(createRepositories(platform)) };
}

async function runWithFaultAtCall(
    call: number,
    operation: PlatformOperation,
    faultCase: FaultCase,
    platform: PlatformFixture,
    clean: PlatformFixture,
    expected: Expectation,
): Promise<CallOutcome | undefined> {
    const { faults } = platform;
    await operation.prepare(createRepositories(clean));
    const point = new FaultPoint(call, () => faultCase.switchOn(faults), () => faultCase.switchOff(faults));
    const first = await operation.run(createRepositories(withFaultPoint(platform, clean, point)));
    faults.clear();
    if (!point.wasReached) {
        return undefined;
    }
    if (first.ok) {
        assert.notEqual(faultCase.allowed, "unavailable", `call ${call}: success although the platform was down`);
        assert.deepEqual(first.val, expected.result, `call ${call}: first result`);
    }
    else {
        assert.notEqual(faultCase.allowed, "success", `call ${call}: ${first.val.message}`);
        assert.equal((first.val as Error & { kind: string }).kind, "unavailable", `call ${call}: ${first.val.message}`);
    }
    faults.releaseHeldWrites();
    if (first.ok) {
        assert.deepEqual(await operation.observe(createRepositories(clean)), expected.effect, `call ${call}: effect`);
    }
    const second = await operation.run(createRepositories(clean));
    assert.deepEqual(second.unwrap(), expected.result, `call ${call}: repeated result`);
    assert.deepEqual(await operation.observe(createRepositories(clean)), expected.effect, `call ${call}: final effect`);
    return { call, succeeded: first.ok };
}

When(
    "{string} is run on a {string} platform with the fault {string} at each of its calls in turn",
    { timeout: 120_000 },
    async (operationName: string, kind: string, fault: string) => {
        const operation = operations[operationName];
        const faultCase = faultCases[fault];
        assert.ok(operation !== undefined && faultCase !== undefined);
        const expected = await runWithoutFault(operation);
        const isSlow = fault === "slow for one call";
        callOutcomes = [];
        for (let call = 1; call <= maximumCallCount; call += 1) {
            const platform = await startPlatform(kind, isSlow ? shortRequestTimeoutMilliseconds : undefined);
            const clean = platform.createWithLongTimeout();
            const outcome = await runWithFaultAtCall(call, operation, faultCase, platform, clean, expected);
            await platform.close();
            if (outcome === undefined) {
                break;
            }
            callOutcomes = [...callOutcomes, outcome];
        }
    },
);

Then("the platform operation makes at least {int} call(s), and its results are correct", (calls: number) => {
    assert.ok(callOutcomes.length >= calls, `only ${callOutcomes.length} calls`);
    assert.ok(callOutcomes.length < maximumCallCount);
});
