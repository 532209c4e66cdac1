import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { AgentOutput } from "../agent/agentPorts.js";
import { AgentDriver, createOrder } from "./agentDriver.js";

const stepMilliseconds = 5;

/** Time after which a view is answered; shorter than the time limit of a call. */
const viewMilliseconds = 35;

/** Time after which a start counts as unanswered. */
const unansweredMilliseconds = 40;

/** Interval of the start orders; shorter than a view takes. */
const startIntervalMilliseconds = 20;

/** Time that stops may take before the lease is not extended any more, and that a view may last until then. */
const stopMilliseconds = 150;

/** Run time of the tasks; they go on for the whole scenario. */
const longTaskMilliseconds = 5000;

const job = "a000000000000001";

/** Rate error of a slow worker clock. */
const clockRateError = 0.02;

interface Timed {
    readonly at: number;
    readonly output: AgentOutput;
}

let agent = new AgentDriver(false);
/** Outputs of the agent, and when they were noticed. */
let timed: Timed[] = [];
let noticed = 0;
let answeredUntil = 0;

function notice(): void {
    timed.push(...agent.outputs.slice(noticed).map(output => ({ at: agent.now, output })));
    noticed = agent.outputs.length;
}

/** Passes one step of time, in which the entry is heard. */
function step(): void {
    agent.advance(stepMilliseconds);
    notice();
    agent.receiveStarts([]);
    notice();
}

function order(number: number): void {
    const needs = { milliCores: 10, memoryMegabytes: 1, accelerators: 0 };
    agent.receiveStarts([{ ...createOrder(job), task: number, needs, estimatedMilliseconds: longTaskMilliseconds }]);
    notice();
}

/** Answers the starts that have waited for the time limit as unanswered. */
function failStarts(answered: Set<AgentOutput>): void {
    for (const { at, output } of [...timed]) {
        if (output.kind === "start" && agent.now >= at + unansweredMilliseconds && !answered.has(output)) {
            answered.add(output);
            agent.accept({ kind: "start-answered", life: output.life, run: output.run, outcome: "unknown" });
            notice();
        }
    }
}

/** Answers the view call that waits, or reports that it got no answer, once the given time has passed. */
function finishView(answered: Set<AgentOutput>, milliseconds: number, isAnswered: boolean): void {
    const call = timed.findLast(({ output }) => output.kind === "view");
    if (call?.output.kind !== "view" || agent.now < call.at + milliseconds || answered.has(call.output)) {
        return;
    }
    answered.add(call.output);
    if (isAnswered) {
        const running = timed.flatMap(({ at, output }) => {
            const percent = Math.round((agent.now - at) * 100 / longTaskMilliseconds);
            return output.kind === "start" ? [{ ...output.run, percent }] : [];
        });
        agent.answerView({ running, ended: [] });
    }
    else {
        agent.accept({ kind: "view-failed", call: call.output.call, failure: { kind: "unknown" } });
    }
    notice();
}

Given("an agent whose worker may be called without extending its lease", () => {
    agent = new AgentDriver(false);
    agent.prepare("life-1");
    timed = [];
    noticed = 0;
    notice();
});

When(
    "starts get no answer for {int} ms, so that views extend the lease rarely, and then no call gets any",
    (milliseconds: number) => {
        const answered = new Set<AgentOutput>();
        const begin = agent.now;
        answeredUntil = begin + milliseconds;
        while (agent.now < answeredUntil + 2000) {
            const elapsed = agent.now - begin;
            if (elapsed < milliseconds && elapsed % startIntervalMilliseconds === 0) {
                order(elapsed / startIntervalMilliseconds);
            }
            step();
            failStarts(answered);
            const isAnswered = agent.now <= answeredUntil;
            finishView(answered, isAnswered ? viewMilliseconds : unansweredMilliseconds, isAnswered);
        }
    },
);

Then("runs are reported as lost, but not before the last lease that any call has permitted", () => {
    const lost = timed.find(({ output }) => {
        return output.kind === "frame" && output.frame.ended.some(({ end }) => end === "lost");
    });
    assert.ok(lost !== undefined);
    const ends = timed.filter(({ at }) => at <= lost.at).flatMap(({ at, output }) => {
        const end = output.kind === "view" ? output.leaseExpiresAt : output.kind === "start" ? output.latestStart : at;
        return end === undefined ? [] : [at + (end - at) * (1 + clockRateError)];
    });
    const latest = Math.max(...ends.filter(end => end !== lost.at));
    assert.ok(lost.at >= latest, `reported ${latest - lost.at} ms before the end of the last lease`);
});

Then("the lease was extended by a view at least every {int} ms while views were answered", (bound: number) => {
    const extensions = timed.flatMap(({ at, output }) => {
        return output.kind === "view" && output.leaseExpiresAt !== undefined && at <= answeredUntil ? [at] : [];
    });
    const instants = [timed[0]?.at ?? 0, ...extensions, answeredUntil];
    const gaps = instants.slice(1).map((at, index) => at - (instants[index] ?? at));
    assert.ok(Math.max(...gaps) <= bound, `a gap of ${Math.max(...gaps)} ms; ${extensions.length} extensions`);
});

When("a run has to end and goes on for {int} ms, while the worker answers each view at once", (
    milliseconds: number,
) => {
    order(0);
    const [run] = timed.flatMap(({ output }) => output.kind === "start" ? [output.run] : []);
    assert.ok(run !== undefined);
    agent.accept({ kind: "start-answered", life: 1, run, outcome: "accepted" });
    agent.receiveStarts([], 0, { stops: [run] });
    const answered = new Set<AgentOutput>();
    const begin = agent.now;
    while (agent.now < begin + stopMilliseconds + milliseconds) {
        step();
        finishView(answered, 0, true);
    }
    timed = timed.filter(({ at }) => at > begin + stopMilliseconds);
});

Then("views did not extend the lease, and each waited for an end", () => {
    const views = timed.flatMap(({ output }) => output.kind === "view" ? [output] : []);
    assert.ok(views.length > 3);
    assert.deepEqual(views.filter(({ leaseExpiresAt }) => leaseExpiresAt !== undefined), []);
    assert.deepEqual(views.filter(({ waitMilliseconds }) => waitMilliseconds === 0).length, 0);
});

function listStarts(): readonly (AgentOutput & { readonly kind: "start" })[] {
    return timed.flatMap(({ output }) => output.kind === "start" ? [output] : []);
}

function leaveUnanswered(number: number): void {
    order(number);
    const start = listStarts().at(-1);
    assert.ok(start !== undefined);
    agent.accept({ kind: "start-answered", life: start.life, run: start.run, outcome: "unknown" });
    notice();
}

Given(
    "two starts without an answer, the second of which was sent after the first had raised the epoch",
    () => {
        step();
        leaveUnanswered(0);
        // The view call that was in flight extends the lease; the next one has the higher epoch.
        finishView(new Set(), 0, true);
        leaveUnanswered(1);
        const [first, second] = listStarts();
        assert.ok(first !== undefined && second !== undefined && second.epoch > first.epoch);
    },
);

When("the worker does not answer the next view call", () => finishView(new Set(), 0, false));

When("a run has to end and goes on", () => {
    const [run] = listStarts().map(start => start.run);
    assert.ok(run !== undefined);
    // The worker does not answer the view call that is in flight until stops are late.
    agent.receiveStarts([], 0, { stops: [run] });
    agent.advance(70);
    notice();
    finishView(new Set(), 0, true);
});

Then("the next view call has an epoch above that of both starts", () => {
    const view = agent.listViewCalls().at(-1);
    assert.ok(view !== undefined);
    const epochs = listStarts().map(({ epoch }) => epoch);
    assert.ok(view.epoch > Math.max(...epochs), `${view.epoch} after ${epochs.join(", ")}`);
});
