import { Given, Then, When } from "@cucumber/cucumber";
import { formatRunKey } from "@lovagepitch/direct/model/frames";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";

const entries = 6;
const longTaskMilliseconds = 1500;

interface Submitted {
    readonly id: string;
    readonly at: number;
}

interface Start {
    readonly runKey: string;
    readonly at: number;
}

let deployment = createDeployment(12, 3);
let jobs: Submitted[] = [];
let starts: Start[] = [];
let evacuatedAt = new Map<string, number>();
let changedAt = 0;
let nextId = 1;

function createDeployment(workers: number, zones: number): DirectDeployment {
    return new DirectDeployment({
        entries,
        workers,
        zones,
        milliCores: 16_000,
        seed: 1,
        getTaskDurationMilliseconds: run => {
            starts.push({ runKey: formatRunKey(run), at: deployment.clock.nowMilliseconds() });
            return run.job.startsWith("f") ? longTaskMilliseconds : 100 + (run.task * 37) % 100;
        },
    });
}

function listStartsIn(zone: string): readonly Start[] {
    const workers = deployment.workers.filter((_, index) => `zone-${index % 3}` === zone);
    const runKeys = new Set(workers.flatMap(({ name }) => deployment.record.listStarts(name).map(formatRunKey)));
    return starts.filter(start => runKeys.has(start.runKey));
}

function submit(id: string, estimatedMilliseconds: number): void {
    const at = deployment.clock.nowMilliseconds();
    deployment.submit(nextId % entries, { id, estimatedMilliseconds, callerWaitMilliseconds: 8000 });
    nextId += 1;
    jobs.push({ id, at });
}

function submitEvenly(count: number, milliseconds: number): void {
    for (let index = 0; index < count; index += 1) {
        submit(`c${nextId.toString(16).padStart(15, "0")}`, 200);
        deployment.advance(milliseconds / count);
    }
}

function readZones(revision: number, names: string, readers: readonly number[]): void {
    const zones = names === "" ? [] : names.split(", ");
    changedAt = deployment.clock.nowMilliseconds();
    zones.forEach(zone => evacuatedAt.set(zone, evacuatedAt.get(zone) ?? changedAt));
    readers.forEach(entry => deployment.evacuate(entry, { revision, zones }));
}

function listEntries(): readonly number[] {
    return Array.from({ length: entries }, (_, index) => index);
}

function findLateRefusals(limit: number): readonly unknown[] {
    return deployment.record.answers.filter(({ answer, job, atMilliseconds }) => {
        const at = jobs.find(({ id }) => id === job)?.at ?? 0;
        return answer.kind === "refused" && atMilliseconds - at > limit;
    });
}

Given(
    "{int} entries and {int} workers in {int} zones, one of which may be evacuated",
    (_entries: number, workers: number, zones: number) => {
        jobs = [];
        starts = [];
        evacuatedAt = new Map();
        deployment = createDeployment(workers, zones);
    },
);

When("{int} evenly spread jobs arrive within {int} ms", submitEvenly);

When("{int} long jobs arrive in the zones", (count: number) => {
    for (let index = 0; index < count; index += 1) {
        submit(`f${nextId.toString(16).padStart(15, "0")}`, longTaskMilliseconds);
    }
    deployment.advance(50);
    assert.ok(listStartsIn("zone-1").length > 0, "no task was started in the zone");
});

When("{int} ms pass in the zones", (milliseconds: number) => deployment.advance(milliseconds));

When(
    /^the store's version (\d+) evacuates (?:no zone|"([^"]*)"), and (?:all entries|only entry (\d+)|entries other than (\d+)) reads? it$/,
    (revision: string, zones: string | null, only: string | null, other: string | null) => {
        const readers = listEntries().filter(entry =>
            (only === null || entry === Number(only)) && (other === null || entry !== Number(other))
        );
        readZones(Number(revision), zones ?? "", readers);
    },
);

When("all agents but agent 0 restart, and then all entries do without reading the store", () => {
    for (let agent = 1; agent < deployment.workers.length; agent += 1) {
        deployment.killAgent(agent);
        deployment.advance(20);
        deployment.restartAgent(agent);
    }
    deployment.advance(500);
    listEntries().forEach(entry => {
        deployment.killEntry(entry);
        deployment.advance(20);
        deployment.restartEntry(entry);
    });
});

When("entry {int} is cut off", (entry: number) => deployment.setPartitioned("entry", entry, true));

When(
    "entry {int} is connected again and reads the store's version {int}, which evacuates {string}",
    (entry: number, revision: number, zone: string) => {
        deployment.evacuate(entry, { revision, zones: [zone] });
        deployment.setPartitioned("entry", entry, false);
    },
);

When("all entries are killed and restarted, and read the store's version {int} without evacuations", (
    revision: number,
) => {
    listEntries().forEach(entry => deployment.killEntry(entry));
    deployment.advance(300);
    listEntries().forEach(entry => deployment.restartEntry(entry));
    readZones(revision, "", listEntries());
});

Then("no task was started in {string} since {int} ms after its evacuation", (zone: string, milliseconds: number) => {
    const since = (evacuatedAt.get(zone) ?? 0) + milliseconds;
    assert.deepEqual(listStartsIn(zone).filter(start => start.at > since), []);
});

Then("tasks were started in {string} since then", (zone: string) => {
    evacuatedAt.delete(zone);
    assert.ok(listStartsIn(zone).some(start => start.at > changedAt), "no task was started");
});

Then("every job in the zones was done, and no run was interrupted", () => {
    const { record } = deployment;
    assert.equal(record.countAnswers("done"), jobs.length);
    assert.equal(record.countRunEnds("stopped") + record.countRunEnds("lost"), 0);
    assert.deepEqual(record.violations, []);
});

Then("the guarantees hold in the zones", () => assert.deepEqual(deployment.record.violations, []));

Then("some jobs in the zones were refused within {int} ms", (limit: number) => {
    assert.ok(deployment.record.countAnswers("refused") > 0);
    assert.deepEqual(findLateRefusals(limit), []);
});

Then("all latest {int} jobs in the zones were refused within {int} ms", (count: number, limit: number) => {
    assert.equal(deployment.record.countAnswers("refused"), count);
    assert.deepEqual(findLateRefusals(limit), []);
});
