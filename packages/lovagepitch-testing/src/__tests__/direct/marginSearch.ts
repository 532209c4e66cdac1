/**
 * Search for the instants at which runs go on for longest after the connection of their caller broke.
 */
import {
    entryLeaseMilliseconds,
    reactionAllowanceMilliseconds,
    workerClockRateError,
} from "@lovagepitch/direct/model/timing";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";
import { setFault } from "./directFaults.js";

const workerCount = 2;
const longTaskMilliseconds = 4000;

/** Run time of the short tasks whose starts and ends make processes send frames and view calls, in milliseconds. */
const shortTaskMilliseconds = 6;

/** Time from the arrival of the long job until the short ones begin, in milliseconds. */
const settlingMilliseconds = 300;

/** Time for which short jobs arrive before an instant that they are to renew a lease at, in milliseconds. */
const streamMilliseconds = 40;

/** Interval of the short jobs that lead to view calls, in milliseconds; each view call ends within it. */
const viewCycleMilliseconds = 14;

/** Times from the last renewal of the entry's lease until it notices the break, in milliseconds. */
const renewalAges = [0, 4, 8] as const;

/** Interval between the instants at which agents are frozen, in milliseconds. */
const freezeStepMilliseconds = 3;

/** Time after the break until which a run is observed, in milliseconds. */
const observedMilliseconds = 1500;

const longJob = {
    id: "e000000000000001",
    taskCount: 8,
    estimatedMilliseconds: longTaskMilliseconds,
    callerWaitMilliseconds: 20_000,
} as const;

/** What the workers do with stops. */
export type StopBehavior = "execute" | "refuse";

/** Instants of one trial, in milliseconds after the break of the caller's connection. */
interface Trial {
    /** The entry's last tick. It notices the break then, and nothing that it sends from then on arrives. */
    readonly noticedAt: number;
    /** Short jobs end and start at the entry until this instant, and so renew its lease. */
    readonly renewedUntil: number;
    /** Offset of the short jobs at the other entry, which make the agents extend the worker's lease. */
    readonly phase: number;
    /** The agents' last tick; undefined when they go on. */
    readonly frozenAt: number | undefined;
}

/** The trial in which runs went on for longest. */
export interface LongestTrial extends Trial {
    /** Time from the break until the last run of the job had ended, in milliseconds. */
    readonly ranMilliseconds: number;
}

/**
 * Searches among renewals of the entry's lease until it notices the break, extensions of the worker's lease around the
 * expiry, and agents frozen around it.
 *
 * @param noticedAt - time after the break in which the entry notices it, in milliseconds
 * @param stops - what the workers do with stops
 * @returns the trial in which runs of the job went on for longest
 */
export function findLongestTrial(noticedAt: number, stops: StopBehavior): LongestTrial {
    let longest: LongestTrial | undefined;
    for (const trial of listTrials(noticedAt, stops)) {
        const ranMilliseconds = runTrial(trial, stops);
        if (ranMilliseconds > (longest?.ranMilliseconds ?? 0)) {
            longest = { ...trial, ranMilliseconds };
        }
    }
    assert.ok(longest);
    return longest;
}

function listTrials(noticedAt: number, stops: StopBehavior): readonly Trial[] {
    const expiresAt = noticedAt + entryLeaseMilliseconds;
    const freezes: (number | undefined)[] = [undefined];
    const latestFreeze = stops === "refuse" ? expiresAt : expiresAt + 2 * freezeStepMilliseconds;
    for (let at = expiresAt - 2 * freezeStepMilliseconds; at <= latestFreeze; at += freezeStepMilliseconds) {
        freezes.push(at);
    }
    const trials: Trial[] = [];
    for (const age of renewalAges) {
        for (let phase = 0; phase < viewCycleMilliseconds; phase += 1) {
            const renewedUntil = noticedAt - age;
            trials.push(...freezes.map(frozenAt => ({ noticedAt, renewedUntil, phase, frozenAt })));
        }
    }
    return trials;
}

/** Runs a trial; returns the time from the break until the last run of the long job has ended. */
function runTrial(trial: Trial, stops: StopBehavior): number {
    const deployment = new DirectDeployment({
        entries: 2,
        workers: workerCount,
        milliCores: 16_000,
        seed: 1,
        workerClockRate: 1 - workerClockRateError,
        getTaskDurationMilliseconds: run => run.job === longJob.id ? longTaskMilliseconds : shortTaskMilliseconds,
    });
    deployment.workers.forEach((_, index) => setFault(deployment, index, { rejectsStops: stops === "refuse" }));
    const request = deployment.submit(0, longJob);
    deployment.advance(settlingMilliseconds);
    assert.equal(countLongRuns(deployment), longJob.taskCount);
    const expiresAt = trial.noticedAt + entryLeaseMilliseconds;
    for (let at = Math.min(0, trial.renewedUntil - streamMilliseconds); at < observedMilliseconds; at += 1) {
        if (at >= trial.renewedUntil - streamMilliseconds && at < trial.renewedUntil && at % 2 === 0) {
            submitShortJob(deployment, 0, at);
        }
        const isNearExpiry = Math.abs(at - expiresAt) <= reactionAllowanceMilliseconds + viewCycleMilliseconds;
        if (isNearExpiry && (at + trial.phase) % viewCycleMilliseconds === 0) {
            submitShortJob(deployment, 1, at);
        }
        if (at === trial.noticedAt) {
            deployment.setFrozen("entry", 0, true);
            deployment.closeCallerConnection(0, request, longJob.id);
        }
        if (at === trial.frozenAt) {
            deployment.workers.forEach((_, index) => deployment.setFrozen("agent", index, true));
        }
        if (at > trial.noticedAt && countLongRuns(deployment) === 0) {
            return at;
        }
        deployment.advance(1);
    }
    return observedMilliseconds;
}

function submitShortJob(deployment: DirectDeployment, entry: number, at: number): void {
    const number = (at + 10_000).toString(16).padStart(8, "0");
    deployment.submit(entry, {
        id: `a000000${entry}${number}`,
        taskCount: workerCount,
        maximumPerWorker: 1,
        needs: { milliCores: 200, memoryMegabytes: 1, accelerators: 0 },
    });
}

function countLongRuns(deployment: DirectDeployment): number {
    deployment.workers.forEach(worker => worker.advance());
    return deployment.record.listRunningTasks().filter(task => task.startsWith(longJob.id)).length;
}
