import { Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { CrashedRun, WorkerCrash } from "../model/workerCrash.js";
import { CrashEvidence, type CrashingTask } from "../policies/crashEvidence.js";
import { CrashingKinds } from "../policies/crashingKinds.js";
import { CrashRecords } from "../policies/crashRecords.js";
import { chooseQuarantine } from "../policies/quarantine.js";
import { ConnectedEntry, createJob, service as entryService } from "./connectedEntry.js";

const service = "service-a";

let now = 1000;
let crashCount = 0;
let evidence = new CrashEvidence();
let found: CrashingTask[] = [];
let kinds = new CrashingKinds();
let records = new CrashRecords();
let suspected: WorkerCrash[] = [];

Before({ tags: "@direct-policies" }, () => {
    now = 1000;
    crashCount = 0;
    evidence = new CrashEvidence();
    found = [];
    kinds = new CrashingKinds();
    records = new CrashRecords();
    suspected = [];
});

/** Parses runs like `a/1 aged 12`. */
function parseRuns(text: string): readonly CrashedRun[] {
    return text.split(", ").map(part => {
        const [, job = "", task = "", age = ""] = /^(\w+)\/(\d+) aged (\d+)$/.exec(part) ?? [];
        return { job, task: Number(task), route: "route-a", ageMilliseconds: Number(age) };
    });
}

function createCrash(runs: readonly CrashedRun[]): WorkerCrash {
    crashCount += 1;
    return { id: `crash-${crashCount}`, instance: `instance-${crashCount}`, service, ageMilliseconds: 0, runs };
}

function recordCrash(runs: string): void {
    found.push(...evidence.record(createCrash(parseRuns(runs)), now));
}

When("a worker crashes while it runs {string}", recordCrash);

When("{int} ms later a worker crashes while it runs {string}", (milliseconds: number, runs: string) => {
    now += milliseconds;
    recordCrash(runs);
});

function suspectCrash(runs: string): void {
    const crash = createCrash(parseRuns(runs));
    suspected.push(crash);
    found.push(...evidence.record({ ...crash, certainty: "suspected" }, now));
}

function withCertainty(crash: WorkerCrash, certainty: string): WorkerCrash {
    return certainty === "suspected" || certainty === "refuted" ? { ...crash, certainty } : crash;
}

When("a worker is suspected to have crashed while it runs {string}", suspectCrash);

When("{int} ms later a worker is suspected to have crashed while it runs {string}", (
    milliseconds: number,
    runs: string,
) => {
    now += milliseconds;
    suspectCrash(runs);
});

When(/^the crashes turn out to be (certain|refuted)$/, (certainty: string) => {
    for (const crash of suspected) {
        found.push(...evidence.record(withCertainty(crash, certainty), now));
    }
});

When(/^a crash that is (\w+) turns out to be (\w+)$/, (first: string, second: string) => {
    const crash = createCrash(parseRuns("a/1 aged 12"));
    records.add(withCertainty(crash, first), now);
    records.add(withCertainty(crash, second), now);
});

Then(/^a peer learns that it is (\w+)$/, (certainty: string) => {
    const learned = records.listAfter(0, now).map(crash => crash.certainty ?? "certain");
    assert.deepEqual(learned, [certainty]);
});

When("a worker crashes while it runs {string} and its record arrives {int} times", (runs: string, count: number) => {
    const crash = createCrash(parseRuns(runs));
    for (let index = 0; index < count; index += 1) {
        now += 100;
        found.push(...evidence.record({ ...crash, ageMilliseconds: index * 100 }, now));
    }
});

Then("the jobs are {string}", (jobs: string) => {
    const actual = jobs.split(", ").map(item => {
        const [job = ""] = item.split(" ");
        return `${job} ${evidence.judge(job, "route-a", now, () => false)}`;
    });
    assert.equal(actual.join(", "), jobs);
});

Then("the job {string} of another route is clear", (job: string) => {
    assert.equal(evidence.judge(job, "route-b", now, () => false), "clear");
});

Then("task {int} of job {string} crashes workers", (task: number, job: string) => {
    assert.deepEqual(found.map(item => [item.job, item.task]), [[job, task]]);
});

Then("no task crashes workers", () => {
    assert.deepEqual(found, []);
});

/** Records a crash under one job of each of the given kinds. */
function chargeKinds(jobs: Readonly<Record<string, string>>): number {
    const jobsByRoute = new Map(Object.entries(jobs).map(([route, job]) => [route, new Set([job])]));
    crashCount += 1;
    return kinds.recordCrash({ crash: `crash-${crashCount}`, service, jobsByRoute }, now).length;
}

When("two workers with jobs of one kind refuse calls", () => {
    confineKind();
});

When(/^(\d) of these workers answer again$/, (count: string) => {
    for (let index = 1; index <= Number(count); index += 1) {
        kinds.refuteCrash(`crash-${index}`);
    }
});

When("the worker that crashed first answers again", () => kinds.refuteCrash("crash-1"));

When("a worker with one of its jobs refuses calls {int} ms later and answers again", (milliseconds: number) => {
    now += milliseconds;
    chargeKinds({ crashing: "e" });
    kinds.refuteCrash(`crash-${crashCount}`);
});

let entry = new ConnectedEntry();

/** Lets an agent report what it knows of a crash of its worker, 10 ms after the start of a job. */
function reportCrash(agent: string, certainty: WorkerCrash["certainty"]): void {
    const runs = [{ job: `job-${agent}`, task: 0, route: "route-a", ageMilliseconds: 10 }];
    const crash = { id: agent, instance: `side-${agent}`, service: entryService, ageMilliseconds: 0, runs };
    entry.report(agent, { crashes: [{ ...crash, certainty }] });
}

function countLogLines(event: string): number {
    return entry.outputs.filter(output => output.kind === "log" && output.event === event).length;
}

Given("an entry with {int} workers that serves jobs of two kinds", (count: number) => {
    entry = new ConnectedEntry();
    for (let index = 1; index <= count; index += 1) {
        entry.connect(`agent-${index}`);
    }
    entry.submit(createJob("b000000000000001", { route: "route-a" }));
    entry.submit(createJob("b000000000000002", { route: "route-b" }));
});

When(
    "two of its workers refuse calls, {int} ms apart, soon after the start of jobs of one kind",
    (milliseconds: number) => {
        reportCrash("agent-1", "suspected");
        entry.advance(milliseconds);
        reportCrash("agent-2", "suspected");
    },
);

When("both workers answer again", () => {
    reportCrash("agent-1", "refuted");
    reportCrash("agent-2", "refuted");
});

Then("the entry has confined that kind", () => {
    assert.equal(countLogLines("jobs of a route are confined to few workers"), 1);
});

Then("the entry has released that kind", () => {
    assert.equal(countLogLines("jobs of a route are no longer confined"), 1);
});

Then(/^the kind of these jobs is (confined|not confined)$/, (result: string) => {
    assert.equal(kinds.isConfined(service, "crashing"), result === "confined");
});

function confineKind(): void {
    kinds.recordArrival(service, "other", now);
    chargeKinds({ crashing: "a" });
    now += 500;
    chargeKinds({ crashing: "b" });
}

Then(/^a kind of jobs is (confined|not confined) after two crashes (\d+) ms apart(.*)$/, (
    result: string,
    milliseconds: string,
    circumstances: string,
) => {
    const isBesideOther = circumstances.includes("beside another likely kind");
    const hasOtherKind = !circumstances.includes("without another kind");
    const secondJob = circumstances.includes("the same job") ? "a" : "b";
    chargeKinds({ crashing: "a", ...isBesideOther ? { other: "x" } : {} });
    now += Number(milliseconds);
    if (hasOtherKind) {
        kinds.recordArrival(service, "other", now);
    }
    chargeKinds({ crashing: secondJob, ...isBesideOther ? { other: "y" } : {} });
    assert.equal(kinds.isConfined(service, "crashing"), result === "confined");
});

/** Records crashes 200 ms apart, each under a job of its own of each kind that may have caused it; parses `x and y, x and z`. */
When(/^workers crash one after the other under (.+)$/, (crashes: string) => {
    crashes.split(", ").forEach((routes, index) => {
        now += 200;
        kinds.recordArrival(service, "other", now);
        chargeKinds(Object.fromEntries(routes.split(" and ").map(route => [route, `${route}-${index}`])));
    });
});

Then(/^the confined kinds are (.+)$/, (expected: string) => {
    const confined = ["x", "y", "z"].filter(route => kinds.isConfined(service, route));
    assert.equal(confined.join(" and ") || "none", expected);
});

When("a kind of jobs is confined", () => {
    confineKind();
    assert.ok(kinds.isConfined(service, "crashing"));
});

When("{int} of its runs succeed", (count: number) => {
    for (let index = 0; index < count; index += 1) {
        kinds.recordSuccess(service, "crashing");
    }
});

When("{int} of its jobs are done", (count: number) => {
    for (let index = 0; index < count; index += 1) {
        kinds.recordDoneJob(service, "crashing");
    }
});

When("one of its jobs crashes a worker", () => {
    now += 500;
    chargeKinds({ crashing: "d" });
});

Then("{int} of its jobs may share a worker", (count: number) => {
    assert.equal(kinds.countParallelJobs(service, "crashing"), count);
});

Then("it is still confined {int} ms after its latest crash", (milliseconds: number) => {
    assert.deepEqual(kinds.release(now + milliseconds), []);
});

Then("it is released {int} ms after its latest crash", (milliseconds: number) => {
    assert.deepEqual(kinds.release(now + milliseconds), [{ service, route: "crashing" }]);
});

Then("one crash {int} ms later confines it again", (milliseconds: number) => {
    now += milliseconds;
    kinds.recordArrival(service, "other", now);
    assert.equal(chargeKinds({ crashing: "c" }), 1);
});

function listCandidates(count: number, crashed: string): { readonly instance: string; readonly hasCrashed: boolean }[] {
    return Array.from({ length: count }, (_, index) => {
        const instance = `instance-${index}`;
        return { instance, hasCrashed: instance === crashed };
    });
}

Then(
    "of {int} workers {int} are kept, of {int} workers {int}, and of {int} worker none",
    (many: number, ofMany: number, two: number, ofTwo: number, one: number) => {
        assert.equal(chooseQuarantine(service, listCandidates(many, "")).instances.length, ofMany);
        assert.equal(chooseQuarantine(service, listCandidates(two, "")).instances.length, ofTwo);
        assert.equal(chooseQuarantine(service, listCandidates(one, "")).instances.length, 0);
    },
);

Then("a worker that has crashed is among those kept", () => {
    for (let index = 0; index < 11; index += 1) {
        const instance = `instance-${index}`;
        assert.equal(chooseQuarantine(service, listCandidates(11, instance)).instances[0], instance);
    }
});
