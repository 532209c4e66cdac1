import { Given, Then, When } from "@cucumber/cucumber";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { isAgentFrame, isEntryFrame } from "../links/frameGuards.js";
import type { EndedRun } from "../model/frames.js";
import { AgentDriver, createOrder, createRegistration, entryAddress } from "./agentDriver.js";
import { ConnectedEntry, createJob } from "./connectedEntry.js";

type Message = Readonly<Record<string, unknown>>;

const agent = "agent-1";
const job = createJob("00000000000000a1", { taskCount: 2 });
const run = { job: job.id, task: 0, run: 1 };

const absurdNumbers = [-1, 0, -0, 0.5, 1e21, 1e308, -1e308, 2 ** 53, -(2 ** 53), 2 ** 31, 5e-324];

const { capacity } = createRegistration("life-1");

const agentFrame: Message = {
    agent,
    instance: "side-1",
    availabilityZone: "zone-1",
    sentAt: 1_000_000,
    includedSequence: 1,
    includedForMilliseconds: 3,
    worker: {
        service: "drives",
        labels: [],
        capacity,
        free: capacity,
        awaited: capacity,
        acceptsTasks: true,
        speed: 1,
        latestReport: { worker: "life-1", workerClock: 1 },
    },
    ended: [{ ...run, end: "failed", ranMilliseconds: 80 }],
    openRuns: [{ ...run, task: 1 }],
    configuration: { version: 0 },
    evacuations: { revision: 7, zones: ["zone-3"] },
    crashes: [{
        id: "crash-1",
        instance: "side-2",
        service: "drives",
        ageMilliseconds: 5,
        runs: [{ job: job.id, task: 1, route: "route-a", ageMilliseconds: 3 }],
    }],
};

const entryFrame: Message = {
    entry: "entry-1",
    sequence: 2,
    newestSentAt: 1_000_000,
    starts: [createOrder("b1")],
    stops: [{ job: "b2", task: 0, run: 1 }],
    entryAddresses: [entryAddress],
    configuration: { version: 1 },
    evacuations: { revision: 7, zones: ["zone-3"] },
    reportedCapacity: { worker: "life-1", workerClock: 1, capacity },
};

let entry = new ConnectedEntry();
let request = 0;

/** Frames with one run of each kind of message. */
const createFrames: Readonly<Record<string, (changes: Message) => boolean>> = {
    "start order": ({ needs, ...changes }) => {
        const order = createOrder("b1");
        return isEntryFrame({
            ...entryFrame,
            starts: [{ ...order, ...changes, needs: { ...order.needs, ...needs as object } }],
        });
    },
    "stop order": changes => isEntryFrame({ ...entryFrame, stops: [{ ...run, ...changes }] }),
    "ended run": changes => {
        return isAgentFrame({ ...agentFrame, ended: [{ ...run, end: "failed", ranMilliseconds: 80, ...changes }] });
    },
    "open run": changes => isAgentFrame({ ...agentFrame, openRuns: [{ ...run, ...changes }] }),
};

Then(
    /^the (.+) with a run of (task|run|submission) (\S+) is refused$/,
    (message: string, field: string, value: string) => {
        const accepts = createFrames[message];
        assert.equal(accepts?.({}), true, "the unchanged message is refused");
        assert.equal(accepts?.({ [field]: JSON.parse(value) as unknown }), false);
    },
);

Then(/^the start order with a run of -1 (cores|memory) is refused$/, (what: string) => {
    const needs = { [what === "cores" ? "milliCores" : "memoryMegabytes"]: -1 };
    assert.equal(createFrames["start order"]?.({ needs }), false);
});

function startJob(): void {
    entry = new ConnectedEntry();
    entry.connect(agent);
    request = entry.submit(job);
    assert.deepEqual(entry.listStarts(job.id).map(({ task }) => task), [0, 1]);
}

Given("an entry with 1 worker that runs both tasks of a job", startJob);

Given("an entry with 1 worker", () => {
    entry = new ConnectedEntry();
    entry.connect(agent);
});

Then("no end of another job, task or run than that which runs at an agent ends the run", () => {
    const identities = fastCheck.record({
        job: fastCheck.constantFrom(job.id, "", "/", `${job.id}/0`, `${job.id}/0/1`, "0/0/1", job.id.toUpperCase()),
        task: fastCheck.oneof(fastCheck.constantFrom(0, 1, 2, 1000, ...absurdNumbers), fastCheck.nat(3)),
        run: fastCheck.oneof(fastCheck.constantFrom(1, 2, ...absurdNumbers), fastCheck.nat(3)),
    });
    const ends = fastCheck.constantFrom<EndedRun["end"]>("succeeded", "failed", "stopped", "lost", "not-started");
    fastCheck.assert(
        fastCheck.property(identities, ends, (identity, end) => {
            fastCheck.pre(identity.job !== job.id || ![0, 1].includes(identity.task) || identity.run !== 1);
            startJob();
            entry.reportEnd(agent, identity, end);
            entry.advance(60);
            assert.equal(entry.findAnswer(request), undefined);
            assert.equal(entry.listStarts(job.id).length, 2);
        }),
        { numRuns: 300, seed: 3 },
    );
});

When("the agent reports the end of task 0 twice in one frame and once in the next one", () => {
    const ended = { ...run, end: "succeeded" as const, ranMilliseconds: 80 };
    entry.report(agent, { ended: [ended, ended] });
    entry.report(agent, { ended: [ended] });
});

Then("the job is not answered", () => assert.equal(entry.findAnswer(request), undefined));

When("the agent reports the end of task 1", () => entry.reportEnd(agent, { ...run, task: 1 }, "succeeded"));

Then("the job is done", () => assert.equal(entry.findAnswer(request)?.kind, "done"));

When(
    "a job with an estimate of {int} ms that waits {int} ms is submitted",
    (estimatedMilliseconds: number, callerWaitMilliseconds: number) => {
        entry.submit({ ...job, stretch: 3, estimatedMilliseconds, callerWaitMilliseconds });
    },
);

Then("the agent can read its start order", () => {
    const frames = entry.outputs.flatMap(output => output.kind === "frame" ? [output.frame] : []);
    assert.ok(frames.some(({ starts }) => starts.length > 0), "no start order");
    assert.ok(frames.every(isEntryFrame), "a frame that agents refuse");
});

function listNumberPaths(value: unknown, path: readonly string[] = []): readonly (readonly string[])[] {
    if (typeof value === "number") {
        return [path];
    }
    return typeof value === "object" && value !== null
        ? Object.entries(value).flatMap(([name, field]) => listNumberPaths(field, [...path, name]))
        : [];
}

function replaceAt(value: unknown, [name, ...rest]: readonly string[], replacement: number): unknown {
    if (name === undefined) {
        return replacement;
    }
    const replaced = replaceAt((value as Message)[name], rest, replacement);
    return Array.isArray(value)
        ? value.map((element, index) => String(index) === name ? replaced : element as unknown)
        : { ...value as Message, [name]: replaced };
}

/** Frames of which up to three numbers are replaced. */
function createAbsurdFrames(frame: Message): fastCheck.Arbitrary<unknown> {
    const change = fastCheck.tuple(
        fastCheck.constantFrom(...listNumberPaths(frame)),
        fastCheck.constantFrom(...absurdNumbers),
    );
    return fastCheck.array(change, { minLength: 1, maxLength: 3 }).map(changes => {
        return changes.reduce<unknown>((changed, [path, number]) => replaceAt(changed, path, number), frame);
    });
}

function assertNothingDropped(outputs: readonly { readonly kind: string }[]): void {
    assert.ok(!outputs.some(output => JSON.stringify(output).includes("input dropped")));
}

Then("an entry goes on after any of {int} frames of an agent with absurd numbers", (count: number) => {
    fastCheck.assert(
        fastCheck.property(createAbsurdFrames(agentFrame), frame => {
            startJob();
            if (isAgentFrame(frame)) {
                entry.accept({ kind: "frame", connection: 1, frame });
                entry.accept();
            }
            entry.connect("agent-2");
            entry.advance(300);
            entry.submit(createJob("after", { callerWaitMilliseconds: 60_000, allowanceMilliseconds: 60_000 }));
            entry.advance(1500);
            assertNothingDropped(entry.outputs);
            assert.ok(entry.listStarts("after").length > 0, "a job that came later did not start");
            assert.ok(entry.outputs.every(output => output.kind !== "frame" || isEntryFrame(output.frame)));
        }),
        { numRuns: count, seed: 5 },
    );
});

Then("an agent goes on after any of {int} frames of an entry with absurd numbers", (count: number) => {
    fastCheck.assert(
        fastCheck.property(createAbsurdFrames(entryFrame), frame => {
            const driver = new AgentDriver(false);
            driver.prepare("life-1");
            if (isEntryFrame(frame)) {
                driver.accept({ kind: "frame", address: entryAddress, frame });
            }
            driver.advance(400);
            assertNothingDropped(driver.outputs);
            const frames = driver.outputs.flatMap(output => output.kind === "frame" ? [output.frame] : []);
            assert.ok(frames.every(isAgentFrame), "a frame that entries refuse");
            const most = Math.max(...frames.map(({ worker }) => worker?.free.milliCores ?? 0));
            assert.ok(most <= capacity.milliCores, `${most} thousandths of a core are free`);
        }),
        { numRuns: count, seed: 5 },
    );
});
