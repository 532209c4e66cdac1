/**
 * Crashes of workers that agents have observed: jobs whose task crashes workers fail, and kinds of jobs that crash workers
 * again and again are confined.
 */
import type { WorkerCrash } from "../model/workerCrash.js";
import type { CrashingTask } from "../policies/crashEvidence.js";
import type { JobKindName } from "../policies/crashingKinds.js";
import { endJob } from "./endJob.js";
import type { EntryState } from "./entryState.js";

/**
 * Takes crashes into account that an agent has observed or passed on.
 *
 * @param state - state of the entry
 * @param crashes - crashes; undefined in frames without any
 */
export function receiveCrashes(state: EntryState, crashes: readonly WorkerCrash[] | undefined): void {
    for (const crash of crashes ?? []) {
        const isFirstSign = !state.crashRecords.has(crash.id);
        if (state.crashRecords.add(crash, state.now)) {
            receiveCrash(state, crash, isFirstSign);
        }
    }
}

function receiveCrash(state: EntryState, crash: WorkerCrash, isFirstSign: boolean): void {
    const { crashEvidence, crashingKinds, now } = state;
    state.isPlacementDue = true;
    state.log("info", "worker crash taken into account", {
        crash: crash.id,
        instance: crash.instance,
        certainty: crash.certainty ?? "certain",
        ageMilliseconds: crash.ageMilliseconds,
        jobs: [...new Set(crash.runs.map(run => run.job))],
    });
    const found = crashEvidence.record(crash, now);
    for (const job of new Set(found.map(task => task.job))) {
        failCrashingJob(state, job, found.filter(task => task.job === job));
    }
    if (crash.certainty === "refuted") {
        logReleasedKinds(state, crashingKinds.refuteCrash(crash.id));
        return;
    }
    if (!isFirstSign) {
        return;
    }
    const crashedAt = now - crash.ageMilliseconds;
    // A restarted entry learns from the crashes of its predecessor's time which kinds of jobs there are.
    crash.runs.forEach(({ route }) => crashingKinds.recordArrival(crash.service, route, crashedAt));
    for (const kind of crashingKinds.recordCrash(crashEvidence.findCauses(crash), crashedAt)) {
        state.log("warn", "jobs of a route are confined to few workers", { ...kind, crash: crash.id });
    }
}

function failCrashingJob(state: EntryState, job: string, tasks: readonly CrashingTask[]): void {
    const [first] = tasks;
    state.log("warn", "job crashes the workers that run it", {
        job,
        route: first?.route,
        tasks: tasks.map(({ task }) => task),
        crashedInstances: first?.instances,
    });
    const row = state.jobs.get(job);
    // A job of another route under the same id is another job.
    if (row !== undefined && tasks.some(({ route }) => route === row.job.route || route === "")) {
        endJob(state, row, { kind: "failed" });
    }
}

/**
 * Releases kinds of jobs that crash no workers any more.
 *
 * @param state - state of the entry
 */
export function releaseKinds(state: EntryState): void {
    logReleasedKinds(state, state.crashingKinds.release(state.now));
}

function logReleasedKinds(state: EntryState, kinds: readonly JobKindName[]): void {
    for (const kind of kinds) {
        state.log("info", "jobs of a route are no longer confined", { ...kind });
        state.isPlacementDue = true;
    }
}
