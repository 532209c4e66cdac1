import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { BoundedLink } from "../../direct/boundedLink.js";
import { DirectDeployment } from "../../direct/directDeployment.js";
import type { RecordedAnswer } from "../../direct/directRecord.js";
import { getAt } from "../../direct/getAt.js";

const taskMilliseconds = 60;
const specification = "x".repeat(600);

/** Time until all jobs that have arrived are answered. */
const settleMilliseconds = 1000;

interface Arrival {
    readonly job: string;
    readonly entry: number;
    readonly at: number;
}

/** Bytes of a link at the start and end of the latest load. */
interface Measurement {
    readonly milliseconds: number;
    readonly usefulBytes: readonly number[];
}

let deployment: DirectDeployment | undefined;
let links: readonly BoundedLink[] = [];
let arrivals: Arrival[] = [];
let measurement: Measurement = { milliseconds: 0, usefulBytes: [] };
let linkRate = 0;
let earlierDone = 0;

function getDeployment(): DirectDeployment {
    assert.ok(deployment);
    return deployment;
}

Given(
    /^(\d+) entr(?:y|ies) and (\d+) workers of (\d+) cores, and links of (\d+) bytes a second$/,
    (entries: string, workers: string, cores: string, rate: string) => {
        deployment = new DirectDeployment({
            entries: Number(entries),
            workers: Number(workers),
            milliCores: Number(cores) * 1000,
            getTaskDurationMilliseconds: () => taskMilliseconds,
            seed: 1,
        });
        linkRate = Number(rate);
        const { linkNetwork } = deployment;
        links = Array.from({ length: Number(entries) }, (_, entry) => linkNetwork.limitRate(entry, linkRate));
    },
);

Given("frames from agents take {int} ms longer", (milliseconds: number) => {
    getDeployment().linkNetwork.delayToEntries = milliseconds;
    getDeployment().advance(settleMilliseconds);
});

/** Submits jobs at constant rates and measures what the links carried in the last nine tenths of the time. */
function runLoad(jobsPerSecond: readonly number[], milliseconds: number): void {
    const { clock } = getDeployment();
    arrivals = [];
    const startedAt = clock.nowMilliseconds();
    const due = jobsPerSecond.map(() => 0);
    let usefulBytesAtStart: readonly number[] = [];
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 1) {
        if (elapsed === milliseconds / 10) {
            usefulBytesAtStart = links.map(link => link.usefulBytes);
        }
        jobsPerSecond.forEach((rate, entry) => {
            for (; getAt(due, entry) <= elapsed; due[entry] = getAt(due, entry) + 1000 / rate) {
                const job = (startedAt * 10_000 + arrivals.length).toString(16).padStart(16, "0");
                arrivals.push({ job, entry, at: clock.nowMilliseconds() });
                getDeployment().submit(entry, {
                    id: job,
                    specification,
                    estimatedMilliseconds: taskMilliseconds,
                    stretch: 3,
                    callerWaitMilliseconds: 2000,
                });
            }
        });
        getDeployment().advance(1);
    }
    measurement = {
        milliseconds: milliseconds * 0.9,
        usefulBytes: links.map((link, entry) => link.usefulBytes - getAt(usefulBytesAtStart, entry)),
    };
    getDeployment().advance(settleMilliseconds);
}

When("{int} jobs a second arrive at entry 0 for {int} ms", (rate: number, milliseconds: number) => {
    runLoad([rate], milliseconds);
});

When(
    "{int} jobs a second arrive at entry 0 and {int} jobs a second at the others for {int} ms",
    (rate: number, otherRate: number, milliseconds: number) => {
        runLoad(links.map((_, entry) => entry === 0 ? rate : otherRate), milliseconds);
    },
);

function listAnswers(): readonly (RecordedAnswer & { readonly after: number })[] {
    const byJob = new Map(arrivals.map(arrival => [arrival.job, arrival]));
    return getDeployment().record.answers.flatMap(answer => {
        const arrival = byJob.get(answer.job);
        return arrival === undefined ? [] : [{ ...answer, after: answer.atMilliseconds - arrival.at }];
    });
}

function countDone(): number {
    return listAnswers().filter(({ answer }) => answer.kind === "done").length;
}

Then("entry 0 used nine tenths of its link for frames that arrived in time", () => {
    const share = getAt(measurement.usefulBytes, 0) / (linkRate * measurement.milliseconds / 1000);
    assert.ok(share >= 0.9 && share < 1.1, `${share} of the link`);
});

Then("no start arrived after the lease of its entry", () => {
    assert.deepEqual(links.map(link => link.outdatedStarts), links.map(() => 0));
});

Then("no frame waited longer than {int} ms", (maximum: number) => {
    const longest = Math.max(...links.map(link => link.longestWaitMilliseconds));
    assert.ok(longest <= maximum, `${longest} ms`);
});

Then("jobs were done, and all others refused within {int} ms", (maximum: number) => {
    const answers = listAnswers();
    assert.equal(answers.length, arrivals.length);
    const others = answers.filter(({ answer }) => answer.kind !== "done");
    const late = others.filter(({ answer, after }) => answer.kind !== "refused" || after > maximum);
    assert.deepEqual(late, []);
    assert.ok(others.length < answers.length);
});

function assertDone(maximum: number, isSelected: (entry: number) => boolean): void {
    const answers = listAnswers().filter(({ entry }) => isSelected(entry));
    assert.equal(answers.length, arrivals.filter(({ entry }) => isSelected(entry)).length);
    assert.deepEqual(answers.filter(({ answer, after }) => answer.kind !== "done" || after > maximum).slice(0, 3), []);
}

Then(/^each (?:job|of the latest jobs) was done within (\d+) ms$/, (maximum: string) => {
    assertDone(Number(maximum), () => true);
});

Then("each job of the other entries was done within {int} ms", (maximum: number) => {
    assertDone(maximum, entry => entry > 0);
});

When("the done jobs are counted", () => {
    earlierDone = countDone();
});

Then("at least {float} times as many jobs were done as before", (factor: number) => {
    assert.ok(countDone() >= factor * earlierDone, `${countDone()} after ${earlierDone}`);
});

Then("the guarantees hold over the links", () => {
    assert.deepEqual(getDeployment().record.violations, []);
});
