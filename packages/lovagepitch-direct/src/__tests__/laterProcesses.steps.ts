import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { deriveEpoch } from "../agent/epochs.js";
import { AgentDriver, createOrder, createReport } from "./agentDriver.js";

const startedAt = 1_764_000_123_456;
const workerClock = 2_238_706;

/** Time that a rejected call takes, in milliseconds. */
const rejectionMilliseconds = 2;

let agent = new AgentDriver(false);
let epochs: readonly number[] = [];
let excludedAt = 0;
let lostAt: number | undefined;
let jobs = 0;

function startProcess(kind: string, incarnation: string, laterMilliseconds: number): AgentDriver {
    const process = new AgentDriver(false, incarnation);
    const report = { ...createReport("life-1"), workerClock: workerClock + laterMilliseconds };
    process.accept({
        kind: "worker-reported",
        report: kind === "that reports its start" ? { ...report, startedAt } : report,
    });
    return process;
}

function getEpoch(process: AgentDriver): number {
    return process.listViewCalls().at(-1)?.epoch ?? Number.NaN;
}

function isAccepting(): boolean {
    const frame = agent.outputs.findLast(output => output.kind === "frame");
    return frame?.kind === "frame" && frame.frame.worker?.acceptsTasks === true;
}

When(/^(\d+) processes learn of a worker (.+) at the same time$/, (count: string, kind: string) => {
    epochs = Array.from({ length: Number(count) }, (_, index) => getEpoch(startProcess(kind, `agent-0-${index}`, 0)));
});

Then("at most {int} of them hold the same epoch, and most hold one of their own", (most: number) => {
    const counts = [...new Set(epochs)].map(epoch => epochs.filter(other => other === epoch).length);
    assert.ok(Math.max(...counts) <= most, `${counts.join(", ")} hold the same epoch`);
    assert.ok(counts.filter(count => count === 1).length > 0.9 * epochs.length);
});

When(
    /^a process learns of a worker (.+), raises its epoch for (\d+) late calls, and another process starts (\d+) ms later$/,
    (kind: string, lateCalls: string, milliseconds: string) => {
        const incarnations = Array.from({ length: 50 }, (_, index) => `agent-0-${index}`);
        const former = incarnations.map(incarnation =>
            getEpoch(startProcess(kind, incarnation, 0)) + Number(lateCalls)
        );
        const later = incarnations.map(incarnation =>
            getEpoch(startProcess(kind, `${incarnation}-1`, Number(milliseconds)))
        );
        epochs = [Math.max(...former), Math.min(...later)];
    },
);

Then("the epoch of the later process is higher, and a safe integer", () => {
    const [former = Number.NaN, later = Number.NaN] = epochs;
    assert.ok(later > former && Number.isSafeInteger(later), `${later} after ${former}`);
});

Then(/^an epoch is above that of version 8d7a46c for the same clock of a worker (.+)$/, (kind: string) => {
    for (let start = startedAt; start < startedAt + 2000; start += 37) {
        for (const clock of [0, 999.5, 1024, 3_276_799, 7_687_126]) {
            const isKnown = kind === "that reports its start";
            const worker = isKnown ? { startedAt: start, workerClock: clock } : { workerClock: clock };
            const former = isKnown
                ? deriveFormerEpoch(start, clock, 0)
                : deriveFormerEpoch(undefined, clock, 0);
            const epoch = deriveEpoch({ incarnation: "agent-1" }, worker, 0);
            assert.ok(epoch > former && Number.isSafeInteger(epoch), `${epoch}, formerly ${former}`);
        }
    }
});

/** Derives an epoch as version 8d7a46c does. */
function deriveFormerEpoch(start: number | undefined, clock: number, formerEpoch: number): number {
    if (start === undefined) {
        return Math.max(formerEpoch + 1, Math.floor(clock));
    }
    const epoch = (start % 2 ** 38) * 2 ** 15 + Math.floor(clock / 100) % 2 ** 15;
    return epoch > formerEpoch ? epoch : formerEpoch + Math.max(1, formerEpoch % 2 ** 15);
}

Then(
    /^an agent of version 8d7a46c is above an epoch of a worker (.+) after at most (\d+) rejected calls$/,
    (kind: string, most: string) => {
        for (const clock of [0, 2_238_706, 3_276_000]) {
            const start = kind === "that reports its start" ? startedAt : undefined;
            const epoch = deriveEpoch({ incarnation: "agent-1" }, { startedAt: start, workerClock: clock }, 0);
            let calls = 0;
            for (let former = 0; former <= epoch; calls += 1) {
                former = deriveFormerEpoch(start, clock + calls * rejectionMilliseconds, former);
            }
            assert.ok(calls <= Number(most), `${calls} calls`);
        }
    },
);

Given("a process whose worker runs a task", prepareRunningTask);

function prepareRunningTask(): void {
    agent = new AgentDriver(false);
    jobs = 0;
    lostAt = undefined;
    agent.prepare("life-1");
    agent.receiveStarts([createOrder("a1")]);
    const run = { job: "a1", task: 0, run: 1 };
    agent.accept({ kind: "start-answered", life: 1, run, outcome: "accepted" });
    agent.answerView({ running: [{ ...run, percent: 1 }], ended: [] });
    assert.ok(isAccepting());
}

function exclude(): void {
    const call = agent.listViewCalls().at(-1)?.call ?? 0;
    excludedAt = agent.now;
    agent.accept({ kind: "view-failed", call, failure: { kind: "outdated-epoch", workerClock: agent.now } });
}

When("the worker has seen a higher epoch than that of its next view call", exclude);

/** Advances the clock while the entry is heard, and orders starts; the worker answers nothing. */
function passTime(milliseconds: number): void {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
        jobs += 1;
        agent.receiveStarts([createOrder(`b${jobs}`)]);
        agent.advance(50);
        if (lostAt === undefined && agent.listReportedEnds().includes("lost")) {
            lostAt = agent.now;
        }
    }
}

When(
    "{int} ms pass, and the worker has seen a higher epoch than that of its next view call",
    (milliseconds: number) => {
        const calls = agent.listViewCalls().length;
        passTime(milliseconds);
        assert.equal(agent.listViewCalls().length, calls + 1);
        exclude();
    },
);

Then("it makes no view call and starts nothing for {int} ms", (milliseconds: number) => {
    const { length } = agent.outputs;
    passTime(milliseconds);
    const calls = agent.outputs.slice(length).filter(({ kind }) => kind === "view" || kind === "start");
    assert.deepEqual(calls, []);
    assert.ok(!isAccepting());
});

Then("the run was reported as lost when the worker's lease had expired", () => {
    assert.equal(agent.listReportedEnds().filter(end => end === "lost").length, 1);
    assert.ok(lostAt !== undefined && lostAt >= excludedAt + 700 && lostAt <= excludedAt + 800, `${lostAt}`);
});

Then("its next view call has a higher epoch", () => {
    const [former, next] = agent.listViewCalls().slice(-2);
    assert.ok(former !== undefined && next !== undefined && next.epoch > former.epoch);
});

When("the worker answers the process", () => agent.answerView({ running: [], ended: [] }));

Then("the process accepts tasks", () => {
    agent.advance(60);
    assert.ok(isAccepting());
});

Given("a process that was excluded, has called the worker again and was excluded again", () => {
    prepareRunningTask();
    exclude();
    passTime(3100);
    agent.answerView({ running: [], ended: [] });
    exclude();
});

When("the worker reports under another id", () => {
    agent.accept({ kind: "worker-reported", report: { ...createReport("life-2"), sequence: 1 } });
});

When("the worker answers the process as another incarnation, and then as the reported one", () => {
    const call = agent.listViewCalls().at(-1)?.call ?? 0;
    agent.accept({ kind: "view-failed", call, failure: { kind: "other-incarnation" } });
    agent.answerView({ running: [], ended: [] });
});

Then("it calls the new worker", () => assert.equal(agent.listViewCalls().at(-1)?.worker, "life-2"));
