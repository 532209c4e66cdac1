/**
 * Crashes of workers that agents have observed: jobs whose task crashes workers fail.
 */
import type { WorkerCrash } from "../model/workerCrash.js";
import type { CrashingTask } from "../policies/crashEvidence.js";
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
        if (state.crashRecords.add(crash, state.now)) {
            receiveCrash(state, crash);
        }
    }
}

function receiveCrash(state: EntryState, crash: WorkerCrash): void {
    const { crashEvidence, now } = state;
    state.isPlacementDue = true;
    state.log("info", "worker crash taken into account", {
        crash: crash.id,
        instance: crash.instance,
        ageMilliseconds: crash.ageMilliseconds,
        jobs: [...new Set(crash.runs.map(run => run.job))],
    });
    const found = crashEvidence.record(crash, now);
    for (const job of new Set(found.map(task => task.job))) {
        failCrashingJob(state, job, found.filter(task => task.job === job));
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
    if (row !== undefined) {
        endJob(state, row, { kind: "failed" });
    }
}
