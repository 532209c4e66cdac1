/**
 * Small run records, each of which obeys or violates one rule of the checker.
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
const runEndedAtMilliseconds = 60_000;

/** Parts of a run record while it is being built. */
interface RecordParts {
    readonly starts: StartRecord;
    readonly answers: AnswerRecord;
    readonly deployment: DeploymentRecord;
}

type FillRecord = (parts: RecordParts) => void;

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

function acceptManifest(parts: RecordParts, version: number, availabilityZone: string, atMilliseconds: number): void {
    const manifest = createManifest(version, availabilityZone);
    parts.deployment.acceptedManifests.push({ manifest, acceptedAtMilliseconds: atMilliseconds });
}

function recordTaskStart(parts: RecordParts, index: number, fields: Partial<TaskStart> = {}): void {
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

function recordRequest(parts: RecordParts, fields: Partial<CallerRequest>): void {
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

function createAnsweredEnd(result: SubmissionResult, atMilliseconds = 1110): Partial<CallerRequest> {
    return { end: { kind: "answered", result, atMilliseconds } };
}

function createTaskAnswer(index: number, submission = "s1"): TaskAnswer {
    return { index, state: "succeeded", output: { submission, index, echo: `job/${index}` } };
}

function createCompleteAnswer(
    tasks: readonly TaskAnswer[] = [createTaskAnswer(0), createTaskAnswer(1)],
): SubmissionResult {
    const answer: JobAnswer = { submission: "s1", state: "complete", configurationVersion: 1, tasks };
    return { kind: "answer", answer };
}

function createFailedAnswer(tasks: readonly TaskAnswer[], submission = "s1"): SubmissionResult {
    const answer: JobAnswer = { submission, state: "failed", reason: "", configurationVersion: 1, tasks };
    return { kind: "answer", answer };
}

function createNotRunProblem(kind: Problem["kind"]): SubmissionResult {
    const problem: Problem = { kind, status: 503, detail: "", remedy: "", execution: "not-run" };
    return { kind: "problem", problem };
}

function startBothTasks(parts: RecordParts): void {
    acceptManifest(parts, 1, zone, 0);
    recordTaskStart(parts, 0);
    recordTaskStart(parts, 1);
}

const recordFillers: { readonly [record: string]: FillRecord } = {
    "each task started once": startBothTasks,
    "key resubmitted under one submission": parts => {
        recordRequest(parts, { key: "dawn", end: { kind: "connection-lost", atMilliseconds: 1000 } });
        recordRequest(parts, { key: "dawn", end: { kind: "connection-lost", atMilliseconds: 1000 } });
    },
    "start under the older version in time": parts => {
        acceptManifest(parts, 1, zone, 0);
        acceptManifest(parts, 2, otherZone, 1000);
        recordTaskStart(parts, 0, { startedAtMilliseconds: 5000 });
    },
    "complete answer with own outputs": parts => {
        startBothTasks(parts);
        recordRequest(parts, createAnsweredEnd(createCompleteAnswer()));
    },
    "failed answer without outputs": parts => {
        acceptManifest(parts, 1, zone, 0);
        recordTaskStart(parts, 0);
        recordRequest(
            parts,
            createAnsweredEnd(
                createFailedAnswer([{ index: 0, state: "may-have-run" }, { index: 1, state: "not-run" }]),
            ),
        );
    },
    "refused as not run and never started": parts =>
        recordRequest(parts, createAnsweredEnd(createNotRunProblem("overloaded"))),
    "mismatch refused while the first job ran": parts => {
        startBothTasks(parts);
        const tasks = job.tasks.map(task => ({ ...task, payload: { echo: "another job" } }));
        recordRequest(parts, {
            ...createAnsweredEnd(createNotRunProblem("submission-mismatch")),
            job: { ...job, tasks },
        });
    },
    "answered within deadline and margin": parts =>
        recordRequest(parts, createAnsweredEnd(createNotRunProblem("overloaded"), 6500)),
    "caller whose connection broke": parts => {
        recordRequest(parts, { end: { kind: "connection-lost", atMilliseconds: 50_000 } });
    },
    "caller without an answer whose entry was frozen": parts => {
        parts.deployment.processLifetimes.push({ process: "entry-1", fromMilliseconds: 0, untilMilliseconds: 3000 });
        parts.deployment.processLifetimes.push({
            process: "entry-1",
            fromMilliseconds: 9000,
            untilMilliseconds: undefined,
        });
        recordRequest(parts, {});
    },
    "failed answer before a complete one at another entry": parts => {
        startBothTasks(parts);
        recordRequest(
            parts,
            createAnsweredEnd(createFailedAnswer([0, 1].map(index => ({ index, state: "may-have-run" as const })))),
        );
        recordRequest(parts, { ...createAnsweredEnd(createCompleteAnswer()), entry: "entry-2" });
    },
    "start before the drain limit": parts => {
        acceptManifest(parts, 1, zone, 0);
        recordTaskStart(parts, 0);
        const drainPeriod = {
            worker: "worker-1",
            drainStartedAtMilliseconds: 500,
            drainEndedAtMilliseconds: undefined,
        };
        parts.deployment.drainPeriods.push(drainPeriod);
    },
    "graceful shutdown that answered every request": parts => {
        recordPlannedStop(parts);
        recordRequest(parts, createAnsweredEnd(createNotRunProblem("stopping")));
    },
    "version in force everywhere in time": parts => {
        acceptManifest(parts, 1, zone, 0);
        parts.deployment.processLifetimes.push({ process: "a", fromMilliseconds: 0, untilMilliseconds: undefined });
        parts.deployment.observedVersions.push({ process: "a", version: 1, atMilliseconds: 4000 });
    },
    "version that no process had before an outage": parts => {
        propagateAfterOutage(parts);
    },
    "version that one process had before an outage": parts => {
        propagateAfterOutage(parts);
        parts.deployment.observedVersions.push({ process: "b", version: 1, atMilliseconds: 50 });
    },
    "process that started in an outage": parts => {
        startProcessInOutage(parts);
    },
    "process that kept running in an outage": parts => {
        parts.deployment.observedVersions.push({ process: "a", version: 1, atMilliseconds: 20 });
        startProcessInOutage(parts);
    },
    "one task started at two workers": parts => {
        acceptManifest(parts, 1, zone, 0);
        recordTaskStart(parts, 0);
        recordTaskStart(parts, 0, { worker: "worker-2" });
    },
    "key bound to two submissions": parts => {
        recordRequest(parts, { key: "dawn", ...createAnsweredEnd(createNotRunProblem("overloaded")) });
        recordRequest(parts, {
            key: "dawn",
            submission: "s2",
            ...createAnsweredEnd(createNotRunProblem("overloaded")),
        });
    },
    "start in a zone never permitted": parts => {
        acceptManifest(parts, 1, otherZone, 0);
        recordTaskStart(parts, 0);
    },
    "start under the older version too late": parts => {
        acceptManifest(parts, 1, zone, 0);
        acceptManifest(parts, 2, otherZone, 1000);
        recordTaskStart(parts, 0, { startedAtMilliseconds: 6001 });
    },
    "start before any version was accepted": parts => recordTaskStart(parts, 0),
    "complete answer with another's output": parts => {
        startBothTasks(parts);
        recordRequest(parts, createAnsweredEnd(createCompleteAnswer([createTaskAnswer(0, "s2"), createTaskAnswer(1)])));
    },
    "complete answer that lacks a task": parts => {
        startBothTasks(parts);
        recordRequest(parts, createAnsweredEnd(createCompleteAnswer([createTaskAnswer(0)])));
    },
    "failed answer with an output": parts => {
        startBothTasks(parts);
        recordRequest(
            parts,
            createAnsweredEnd(createFailedAnswer([createTaskAnswer(0), { index: 1, state: "failed" }])),
        );
    },
    "contradictory answers from one entry": parts => {
        startBothTasks(parts);
        recordRequest(parts, createAnsweredEnd(createCompleteAnswer()));
        recordRequest(
            parts,
            createAnsweredEnd(createFailedAnswer([0, 1].map(index => ({ index, state: "may-have-run" as const })))),
        );
    },
    "contradictory answers from two entries": parts => {
        startBothTasks(parts);
        const tasks = [{ index: 0, state: "failed" as const }, { index: 1, state: "may-have-run" as const }];
        recordRequest(parts, createAnsweredEnd(createFailedAnswer(tasks)));
        recordRequest(parts, { ...createAnsweredEnd(createCompleteAnswer()), entry: "entry-2" });
    },
    "answer about a task that never started": parts => {
        const tasks = [{ index: 0, state: "failed" as const }, { index: 1, state: "not-run" as const }];
        recordRequest(parts, createAnsweredEnd(createFailedAnswer(tasks)));
    },
    "answer to another submission": parts => {
        const tasks = [0, 1].map(index => ({ index, state: "not-run" as const }));
        recordRequest(parts, createAnsweredEnd(createFailedAnswer(tasks, "s2")));
    },
    "refused as not run and started": parts => {
        startBothTasks(parts);
        recordRequest(parts, createAnsweredEnd(createNotRunProblem("keeper-unreachable")));
    },
    "failed task not run and started": parts => {
        startBothTasks(parts);
        recordRequest(
            parts,
            createAnsweredEnd(createFailedAnswer([0, 1].map(index => ({ index, state: "not-run" as const })))),
        );
    },
    "no answer at all": parts => {
        parts.deployment.processLifetimes.push({
            process: "entry-1",
            fromMilliseconds: 0,
            untilMilliseconds: undefined,
        });
        recordRequest(parts, {});
    },
    "answered too late": parts => recordRequest(parts, createAnsweredEnd(createNotRunProblem("overloaded"), 7000)),
    "complete answer delayed": parts => {
        startBothTasks(parts);
        recordRequest(parts, createAnsweredEnd(createCompleteAnswer(), 3200));
    },
    "start after the drain limit": parts => {
        acceptManifest(parts, 1, zone, 0);
        recordTaskStart(parts, 0, { startedAtMilliseconds: 2000 });
        const drainPeriod = {
            worker: "worker-1",
            drainStartedAtMilliseconds: 500,
            drainEndedAtMilliseconds: undefined,
        };
        parts.deployment.drainPeriods.push(drainPeriod);
    },
    "graceful shutdown that broke a connection": parts => {
        recordPlannedStop(parts);
        recordRequest(parts, { end: { kind: "connection-lost", atMilliseconds: 1500 } });
    },
    "version missing in one process": parts => {
        acceptManifest(parts, 1, zone, 0);
        for (const process of ["a", "b"]) {
            parts.deployment.processLifetimes.push({ process, fromMilliseconds: 0, untilMilliseconds: undefined });
        }
        parts.deployment.observedVersions.push({ process: "a", version: 1, atMilliseconds: 4000 });
        parts.deployment.observedVersions.push({ process: "b", version: 1, atMilliseconds: 5001 });
    },
    "version that decreased": parts => {
        parts.deployment.observedVersions.push({ process: "a", version: 2, atMilliseconds: 1 });
        parts.deployment.observedVersions.push({ process: "a", version: 1, atMilliseconds: 2 });
    },
};

function propagateAfterOutage(parts: RecordParts): void {
    acceptManifest(parts, 1, zone, 0);
    parts.deployment.platformOutages.push({ fromMilliseconds: 100, untilMilliseconds: 9000 });
    parts.deployment.processLifetimes.push({ process: "a", fromMilliseconds: 0, untilMilliseconds: undefined });
    parts.deployment.observedVersions.push({ process: "a", version: 1, atMilliseconds: 11_000 });
}

function startProcessInOutage(parts: RecordParts): void {
    acceptManifest(parts, 1, zone, 0);
    acceptManifest(parts, 2, zone, 50);
    parts.deployment.observedVersions.push({ process: "b", version: 2, atMilliseconds: 60 });
    parts.deployment.platformOutages.push({ fromMilliseconds: 100, untilMilliseconds: 9000 });
    parts.deployment.processLifetimes.push({ process: "a", fromMilliseconds: 200, untilMilliseconds: undefined });
    parts.deployment.observedVersions.push({ process: "a", version: 2, atMilliseconds: 11_000 });
}

function recordPlannedStop(parts: RecordParts): void {
    const stop = { process: "entry-1", worker: undefined, fromMilliseconds: 900, untilMilliseconds: 2000 };
    parts.deployment.gracefulShutdowns.push(stop);
}

/**
 * Creates a run record.
 *
 * @param name - name of the record in checker.feature
 * @returns the record of a run that ended after 60 s
 */
export function createCheckerRecord(name: string): RunRecord {
    const parts = { starts: new StartRecord(), answers: new AnswerRecord(), deployment: new DeploymentRecord() };
    const fill = recordFillers[name];
    if (fill === undefined) {
        throw new Error(`no record is named "${name}"; add it to checkerRecords.ts`);
    }
    fill(parts);
    return { ...parts, endedAtMilliseconds: runEndedAtMilliseconds };
}
