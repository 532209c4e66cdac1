/**
 * Small records, each of which obeys or breaks one rule.
 */
import type { JobAnswer, JobRequest, TaskAnswer } from "@lovagepitch/types/job";
import type { VersionedManifest } from "@lovagepitch/types/manifest";
import type { SubmissionResult } from "@lovagepitch/types/peerMessage";
import type { Problem } from "@lovagepitch/types/problem";
import { AnswerRecord, type CallerRequest } from "../checker/answerRecord.js";
import { DeploymentRecord } from "../checker/deploymentRecord.js";
import type { RunRecord } from "../checker/runRecord.js";
import { StartRecord, type TaskStart } from "../checker/startRecord.js";

const zone = "kolonnawa";
const otherZone = "dehiwala";
const endOfRun = 60_000;

/** The three parts of a record while it is put together. */
interface Parts {
    readonly starts: StartRecord;
    readonly answers: AnswerRecord;
    readonly deployment: DeploymentRecord;
}

type Fill = (parts: Parts) => void;

function createManifest(version: number, availabilityZone: string): VersionedManifest {
    const kind = {
        name: "alert",
        availabilityZones: [availabilityZone],
        maximumCores: 1,
        maximumMemoryMegabytes: 1,
        maximumDeadlineMilliseconds: 10_000,
        taskTimeoutMilliseconds: 10_000,
    };
    const manifest = {
        availabilityZones: [zone, otherZone],
        teams: [],
        services: [{ name: "alerts", kinds: [kind] }],
    };
    return { version, manifest, digest: "", appliedBy: "operator-1" };
}

function accept(parts: Parts, version: number, availabilityZone: string, atMilliseconds: number): void {
    const manifest = createManifest(version, availabilityZone);
    parts.deployment.acceptedManifests.push({ manifest, acceptedAtMilliseconds: atMilliseconds });
}

function start(parts: Parts, index: number, fields: Partial<TaskStart> = {}): void {
    const started: TaskStart = {
        submission: "s1",
        index,
        team: "growers",
        service: "alerts",
        kind: "alert",
        echo: `job/${index}`,
        worker: "worker-1",
        availabilityZone: zone,
        startedAtMilliseconds: 1000,
        ...fields,
    };
    parts.starts.recordStart(started);
    const endedAtMilliseconds = started.startedAtMilliseconds + 100;
    parts.starts.recordEnd(started, { endedAtMilliseconds, state: "succeeded" });
}

const job: JobRequest = {
    team: "growers",
    service: "alerts",
    kind: "alert",
    deadlineMilliseconds: 5000,
    idempotent: false,
    tasks: [0, 1].map(index => ({
        payload: { echo: `job/${index}` },
        cores: 1,
        memoryMegabytes: 1,
        expectedMilliseconds: 100,
    })),
};

function ask(parts: Parts, fields: Partial<CallerRequest>): void {
    parts.answers.recordRequest({
        entry: "entry-1",
        operation: "submit",
        job,
        key: undefined,
        submission: "s1",
        sentAtMilliseconds: 990,
        end: undefined,
        ...fields,
    });
}

function answered(result: SubmissionResult, atMilliseconds = 1110): Partial<CallerRequest> {
    return { end: { kind: "answered", result, atMilliseconds } };
}

function taskOutput(index: number, submission = "s1"): TaskAnswer {
    return { index, state: "succeeded", output: { submission, index, echo: `job/${index}` } };
}

function completeAnswer(tasks: readonly TaskAnswer[] = [taskOutput(0), taskOutput(1)]): SubmissionResult {
    const answer: JobAnswer = { submission: "s1", state: "complete", configurationVersion: 1, tasks };
    return { kind: "answer", answer };
}

function failedAnswer(tasks: readonly TaskAnswer[], submission = "s1"): SubmissionResult {
    const answer: JobAnswer = { submission, state: "failed", reason: "", configurationVersion: 1, tasks };
    return { kind: "answer", answer };
}

function notRun(kind: Problem["kind"]): SubmissionResult {
    const problem: Problem = { kind, status: 503, detail: "", remedy: "", execution: "not-run" };
    return { kind: "problem", problem };
}

function runBoth(parts: Parts): void {
    accept(parts, 1, zone, 0);
    start(parts, 0);
    start(parts, 1);
}

const fills: { readonly [record: string]: Fill } = {
    "each task started once": runBoth,
    "key resubmitted under one submission": parts => {
        ask(parts, { key: "dawn", end: { kind: "connection-lost", atMilliseconds: 1000 } });
        ask(parts, { key: "dawn", end: { kind: "connection-lost", atMilliseconds: 1000 } });
    },
    "start under the older version in time": parts => {
        accept(parts, 1, zone, 0);
        accept(parts, 2, otherZone, 1000);
        start(parts, 0, { startedAtMilliseconds: 5000 });
    },
    "complete answer with own outputs": parts => {
        runBoth(parts);
        ask(parts, answered(completeAnswer()));
    },
    "failed answer without outputs": parts => {
        accept(parts, 1, zone, 0);
        start(parts, 0);
        ask(parts, answered(failedAnswer([{ index: 0, state: "may-have-run" }, { index: 1, state: "not-run" }])));
    },
    "refused as not run and never started": parts => ask(parts, answered(notRun("overloaded"))),
    "mismatch refused while the first job ran": parts => {
        runBoth(parts);
        const tasks = job.tasks.map(task => ({ ...task, payload: { echo: "another job" } }));
        ask(parts, { ...answered(notRun("submission-mismatch")), job: { ...job, tasks } });
    },
    "answered within deadline and margin": parts => ask(parts, answered(notRun("overloaded"), 6500)),
    "caller whose connection broke": parts => {
        ask(parts, { end: { kind: "connection-lost", atMilliseconds: 50_000 } });
    },
    "silent caller whose entry was paused": parts => {
        parts.deployment.processLifetimes.push({ process: "entry-1", fromMilliseconds: 0, untilMilliseconds: 3000 });
        parts.deployment.processLifetimes.push({
            process: "entry-1",
            fromMilliseconds: 9000,
            untilMilliseconds: undefined,
        });
        ask(parts, {});
    },
    "failed answer before a complete one elsewhere": parts => {
        runBoth(parts);
        ask(parts, answered(failedAnswer([0, 1].map(index => ({ index, state: "may-have-run" as const })))));
        ask(parts, { ...answered(completeAnswer()), entry: "entry-2" });
    },
    "start before the leaving limit": parts => {
        accept(parts, 1, zone, 0);
        start(parts, 0);
        const drainPeriod = {
            worker: "worker-1",
            drainStartedAtMilliseconds: 500,
            drainEndedAtMilliseconds: undefined,
        };
        parts.deployment.drainPeriods.push(drainPeriod);
    },
    "planned stop that answered everything": parts => {
        plannedStop(parts);
        ask(parts, answered(notRun("stopping")));
    },
    "version in force everywhere in time": parts => {
        accept(parts, 1, zone, 0);
        parts.deployment.processLifetimes.push({ process: "a", fromMilliseconds: 0, untilMilliseconds: undefined });
        parts.deployment.observedVersions.push({ process: "a", version: 1, atMilliseconds: 4000 });
    },
    "version that nobody had before an outage": parts => {
        spreadAfterOutage(parts);
    },
    "version that one process had before an outage": parts => {
        spreadAfterOutage(parts);
        parts.deployment.observedVersions.push({ process: "b", version: 1, atMilliseconds: 50 });
    },
    "process that started in an outage": parts => {
        startInOutage(parts);
    },
    "process that went on in an outage": parts => {
        parts.deployment.observedVersions.push({ process: "a", version: 1, atMilliseconds: 20 });
        startInOutage(parts);
    },
    "one task started at two workers": parts => {
        accept(parts, 1, zone, 0);
        start(parts, 0);
        start(parts, 0, { worker: "worker-2" });
    },
    "key bound to two submissions": parts => {
        ask(parts, { key: "dawn", ...answered(notRun("overloaded")) });
        ask(parts, { key: "dawn", submission: "s2", ...answered(notRun("overloaded")) });
    },
    "start in a zone never permitted": parts => {
        accept(parts, 1, otherZone, 0);
        start(parts, 0);
    },
    "start under the older version too late": parts => {
        accept(parts, 1, zone, 0);
        accept(parts, 2, otherZone, 1000);
        start(parts, 0, { startedAtMilliseconds: 6001 });
    },
    "start before any version was accepted": parts => start(parts, 0),
    "complete answer with another's output": parts => {
        runBoth(parts);
        ask(parts, answered(completeAnswer([taskOutput(0, "s2"), taskOutput(1)])));
    },
    "complete answer that lacks a task": parts => {
        runBoth(parts);
        ask(parts, answered(completeAnswer([taskOutput(0)])));
    },
    "failed answer with an output": parts => {
        runBoth(parts);
        ask(parts, answered(failedAnswer([taskOutput(0), { index: 1, state: "failed" }])));
    },
    "two answers that disagree": parts => {
        runBoth(parts);
        ask(parts, answered(completeAnswer()));
        ask(parts, answered(failedAnswer([0, 1].map(index => ({ index, state: "may-have-run" as const })))));
    },
    "answers elsewhere that contradict": parts => {
        runBoth(parts);
        const tasks = [{ index: 0, state: "failed" as const }, { index: 1, state: "may-have-run" as const }];
        ask(parts, answered(failedAnswer(tasks)));
        ask(parts, { ...answered(completeAnswer()), entry: "entry-2" });
    },
    "answer about a task that never started": parts => {
        const tasks = [{ index: 0, state: "failed" as const }, { index: 1, state: "not-run" as const }];
        ask(parts, answered(failedAnswer(tasks)));
    },
    "answer to another submission": parts => {
        const tasks = [0, 1].map(index => ({ index, state: "not-run" as const }));
        ask(parts, answered(failedAnswer(tasks, "s2")));
    },
    "refused as not run and started": parts => {
        runBoth(parts);
        ask(parts, answered(notRun("keeper-unreachable")));
    },
    "failed task not run and started": parts => {
        runBoth(parts);
        ask(parts, answered(failedAnswer([0, 1].map(index => ({ index, state: "not-run" as const })))));
    },
    "no answer at all": parts => {
        parts.deployment.processLifetimes.push({
            process: "entry-1",
            fromMilliseconds: 0,
            untilMilliseconds: undefined,
        });
        ask(parts, {});
    },
    "answered too late": parts => ask(parts, answered(notRun("overloaded"), 7000)),
    "complete answer held back": parts => {
        runBoth(parts);
        ask(parts, answered(completeAnswer(), 3200));
    },
    "start after the leaving limit": parts => {
        accept(parts, 1, zone, 0);
        start(parts, 0, { startedAtMilliseconds: 2000 });
        const drainPeriod = {
            worker: "worker-1",
            drainStartedAtMilliseconds: 500,
            drainEndedAtMilliseconds: undefined,
        };
        parts.deployment.drainPeriods.push(drainPeriod);
    },
    "planned stop that broke a connection": parts => {
        plannedStop(parts);
        ask(parts, { end: { kind: "connection-lost", atMilliseconds: 1500 } });
    },
    "version missing in one process": parts => {
        accept(parts, 1, zone, 0);
        for (const process of ["a", "b"]) {
            parts.deployment.processLifetimes.push({ process, fromMilliseconds: 0, untilMilliseconds: undefined });
        }
        parts.deployment.observedVersions.push({ process: "a", version: 1, atMilliseconds: 4000 });
        parts.deployment.observedVersions.push({ process: "b", version: 1, atMilliseconds: 5001 });
    },
    "version that fell": parts => {
        parts.deployment.observedVersions.push({ process: "a", version: 2, atMilliseconds: 1 });
        parts.deployment.observedVersions.push({ process: "a", version: 1, atMilliseconds: 2 });
    },
};

function spreadAfterOutage(parts: Parts): void {
    accept(parts, 1, zone, 0);
    parts.deployment.platformOutages.push({ fromMilliseconds: 100, untilMilliseconds: 9000 });
    parts.deployment.processLifetimes.push({ process: "a", fromMilliseconds: 0, untilMilliseconds: undefined });
    parts.deployment.observedVersions.push({ process: "a", version: 1, atMilliseconds: 11_000 });
}

function startInOutage(parts: Parts): void {
    accept(parts, 1, zone, 0);
    accept(parts, 2, zone, 50);
    parts.deployment.observedVersions.push({ process: "b", version: 2, atMilliseconds: 60 });
    parts.deployment.platformOutages.push({ fromMilliseconds: 100, untilMilliseconds: 9000 });
    parts.deployment.processLifetimes.push({ process: "a", fromMilliseconds: 200, untilMilliseconds: undefined });
    parts.deployment.observedVersions.push({ process: "a", version: 2, atMilliseconds: 11_000 });
}

function plannedStop(parts: Parts): void {
    const stop = { process: "entry-1", worker: undefined, fromMilliseconds: 900, untilMilliseconds: 2000 };
    parts.deployment.gracefulShutdowns.push(stop);
}

/**
 * Puts a record together.
 *
 * @param name - its name in the feature
 * @returns the record
 */
export function createCheckerRecord(name: string): RunRecord {
    const parts = { starts: new StartRecord(), answers: new AnswerRecord(), deployment: new DeploymentRecord() };
    const fill = fills[name];
    if (fill === undefined) {
        throw new Error(`no record is named "${name}"; add it to checkerRecords.ts`);
    }
    fill(parts);
    return { ...parts, endedAtMilliseconds: endOfRun };
}
