import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";
import { getAt } from "../../direct/getAt.js";

const taskMilliseconds = 100;

/** A job of the default allowance and stretch is in time within this, in milliseconds. */
const objectiveMilliseconds = 60 + 1.6 * taskMilliseconds;

/** Difference between the run times of two tasks of a job that follow each other, in milliseconds. */
const taskSpreadMilliseconds = 15;

const callerWaitMilliseconds = 1500;

/** Time until all jobs that have arrived are answered, in milliseconds. */
const settleMilliseconds = 2500;

/** Speed of a slow entry, in thousandths of a core. */
const slowMilliCores = 60;

interface Arrival {
    readonly job: string;
    readonly request: number;
    readonly entry: number;
    readonly at: number;
}

let deployment: DirectDeployment | undefined;
let entryCount = 0;
let zoneCount = 0;
let arrivals: Arrival[] = [];
let firstOfLatest = 0;
let killedEntry: number | undefined;

function getDeployment(): DirectDeployment {
    assert.ok(deployment);
    return deployment;
}

Given(
    "{int} entries in {int} zones with {int} and {int} thousandths of a core in turn, and {int} workers of {int} cores",
    (entries: number, zones: number, first: number, second: number, workers: number, cores: number) => {
        entryCount = entries;
        zoneCount = zones;
        arrivals = [];
        killedEntry = undefined;
        deployment = new DirectDeployment({
            entries,
            zones,
            entryMilliCores: [first, second],
            workers,
            milliCores: cores * 1000,
            getTaskDurationMilliseconds: run => taskMilliseconds - run.task * taskSpreadMilliseconds,
            seed: 65,
        });
        deployment.advance(1000);
    },
);

function runLoad(rate: number, milliseconds: number, isSelected: (entry: number) => boolean): void {
    firstOfLatest = arrivals.length;
    const { clock } = getDeployment();
    const due = Array.from({ length: entryCount }, (_, entry) => entry * 1000 / rate / entryCount);
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 1) {
        due.forEach((_, entry) => {
            for (; getAt(due, entry) <= elapsed; due[entry] = getAt(due, entry) + 1000 / rate) {
                if (!isSelected(entry)) {
                    continue;
                }
                const job = arrivals.length.toString(16).padStart(16, "0");
                const request = getDeployment().submit(entry, {
                    id: job,
                    estimatedMilliseconds: taskMilliseconds,
                    callerWaitMilliseconds,
                });
                arrivals.push({ job, request, entry, at: clock.nowMilliseconds() });
            }
        });
        getDeployment().advance(1);
    }
}

When("{int} jobs a second arrive at each entry for {int} ms", (rate: number, milliseconds: number) => {
    runLoad(rate, milliseconds, () => true);
});

When("{int} jobs a second arrive at each entry but {int} for {int} ms", (
    rate: number,
    entry: number,
    milliseconds: number,
) => {
    runLoad(rate, milliseconds, other => other !== entry);
});

When("spare entry {int} is killed", (entry: number) => {
    killedEntry = entry;
    getDeployment().killEntry(entry);
});

When("spare entry {int} is frozen", (entry: number) => {
    getDeployment().setFrozen("entry", entry, true);
});

When("spare entry {int} is cut off", (entry: number) => {
    getDeployment().setPartitioned("entry", entry, true);
});

When("spare entry {int} is slow", (entry: number) => {
    getDeployment().getEntryHost(entry).processor?.setSpeed(slowMilliCores);
});

function listOutcomes(
    selected: readonly Arrival[],
): readonly (Arrival & { readonly after: number; readonly kind: string })[] {
    getDeployment().advance(settleMilliseconds);
    const answers = new Map(getDeployment().record.answers.map(answer => [answer.request, answer]));
    return selected.map(arrival => {
        const answer = answers.get(arrival.request);
        const after = (answer?.atMilliseconds ?? Number.POSITIVE_INFINITY) - arrival.at;
        return { ...arrival, after, kind: answer?.answer.kind ?? "unanswered" };
    });
}

function assertInTime(selected: readonly Arrival[], minimum: number): void {
    const outcomes = listOutcomes(selected);
    const shares = Array.from({ length: zoneCount }, (_, zone) => {
        const ofZone = outcomes.filter(({ entry }) => entry % zoneCount === zone);
        const inTime = ofZone.filter(({ kind, after }) => kind === "done" && after <= objectiveMilliseconds);
        return inTime.length / ofZone.length;
    });
    assert.ok(shares.every(share => share >= minimum), `in time by zone: ${shares.join(", ")}`);
}

Then("at least {float} of the jobs of each zone were done in time", (minimum: number) => {
    assertInTime(arrivals, minimum);
});

Then("at least {float} of the latest jobs of each zone were done in time", (minimum: number) => {
    assertInTime(arrivals.slice(firstOfLatest), minimum);
});

Then("no job of them was interrupted", () => {
    assert.deepEqual(listOutcomes(arrivals).filter(({ kind }) => kind === "interrupted"), []);
});

Then("each caller of an entry that was not lost has its answer", () => {
    const outcomes = listOutcomes(arrivals).filter(({ entry }) => entry !== killedEntry);
    const isCut = ({ entry }: Arrival): boolean => entry === 2;
    const unanswered = outcomes.filter(outcome => outcome.kind === "unanswered" && !isCut(outcome));
    assert.deepEqual(unanswered, []);
});

Then("the guarantees hold among unequal entries", () => {
    getDeployment().record.checkRunningTasks();
    assert.deepEqual(getDeployment().record.violations, []);
});
