/**
 * Search for the instants at which an entry starts a job of a silent owner soonest after the owner's last run of it.
 */
import {
    entryLeaseMilliseconds,
    reactionAllowanceMilliseconds,
    workerClockRateError,
} from "@lovagepitch/direct/model/timing";
import { ownerLeaseMilliseconds } from "@lovagepitch/direct/policies/announcedJobs";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";
import { setFault } from "./directFaults.js";

const workerCount = 3;

/** Workers that refuse stops and whose agents may be frozen; the second entry uses the other one. */
const frozenCount = 2;

const longTaskMilliseconds = 6000;

/** Run time of the short tasks whose starts and ends make processes send frames and view calls, in milliseconds. */
const shortTaskMilliseconds = 6;

/** Number of the last announcement that arrives. */
const lastReceived = 3;

/** Interval of the second entry's looks at its held jobs, in milliseconds. */
const lookIntervalMilliseconds = 50;

/** Time for which short jobs arrive before an instant that they are to renew a lease at, in milliseconds. */
const streamMilliseconds = 40;

/** Interval of the short jobs that lead to view calls, in milliseconds; each view call ends within it. */
const viewCycleMilliseconds = 14;

/** Times from the owner's last announcement until its end, in milliseconds; it would send the next one 1 ms later. */
const endOffsets = [99] as const;

/** Times from the last renewal of the owner's lease until its end, in milliseconds. */
const renewalAges = [0, 1, 4] as const;

/** Times from the expiry of the owner's lease until agents are frozen, in milliseconds; undefined when they go on. */
const freezeOffsets = [undefined, -2, -1, 0] as const;

/** Time after which a trial is given up, in milliseconds. */
const longestTrialMilliseconds = 5000;

const longJob = {
    id: "e000000000000001",
    taskCount: 12,
    estimatedMilliseconds: longTaskMilliseconds,
    callerWaitMilliseconds: 20_000,
} as const;

/** How the owner ends. */
export type OwnerEnd = "is killed" | "is frozen";

interface Trial {
    readonly ownerEnd: OwnerEnd;
    readonly lostAnnouncements: number;
    readonly endOffset: number;
    readonly renewalAge: number;
    readonly phase: number;
    readonly freezeOffset: number | undefined;
}

/** The trial with the shortest time between the runs of both entries. */
export interface ShortestTrial extends Trial {
    /** Time from the end of the owner's last run until the first start of the second entry, in milliseconds. */
    readonly gapMilliseconds: number;
    /** Time from the owner's last announcement that arrived until the end of its last run, in milliseconds. */
    readonly ranMilliseconds: number;
}

/**
 * Searches among ends of the owner just before an announcement, extensions of the worker's lease around the expiry of the
 * owner's, and agents frozen around it. All workers but one refuse stops; the second entry looks as soon as it may start the job.
 *
 * @param ownerEnd - how the owner ends
 * @param lostAnnouncements - number of its last announcements that are lost
 * @returns the trial with the shortest time between the runs of both entries
 */
export function findShortestTrial(ownerEnd: OwnerEnd, lostAnnouncements: number): ShortestTrial {
    let shortest: ShortestTrial | undefined;
    for (const endOffset of endOffsets) {
        for (const renewalAge of renewalAges) {
            for (const freezeOffset of freezeOffsets) {
                for (let phase = 0; phase < viewCycleMilliseconds; phase += 1) {
                    const trial = { ownerEnd, lostAnnouncements, endOffset, renewalAge, phase, freezeOffset };
                    const result = { ...trial, ...runTrial(trial) };
                    if (result.gapMilliseconds < (shortest?.gapMilliseconds ?? Number.POSITIVE_INFINITY)) {
                        shortest = result;
                    }
                }
            }
        }
    }
    assert.ok(shortest);
    return shortest;
}

function runTrial(trial: Trial): Pick<ShortestTrial, "gapMilliseconds" | "ranMilliseconds"> {
    const deployment = createDeployment();
    const announcedAt = recordAnnouncements(deployment);
    const lastSent = lastReceived + trial.lostAnnouncements;
    deployment.submit(0, longJob);
    while (announcedAt.length < lastSent) {
        deployment.advance(1);
    }
    assert.equal(countOwnersRuns(deployment), longJob.taskCount - 1);
    const endsAt = (announcedAt[lastSent - 1] ?? 0) + trial.endOffset;
    const receivedAt = (announcedAt[lastReceived - 1] ?? 0) + 1;
    const maySucceedAt = receivedAt + ownerLeaseMilliseconds + 1;
    const looks = Math.floor((maySucceedAt - endsAt - 1) / lookIntervalMilliseconds);
    const submittedAt = maySucceedAt - looks * lookIntervalMilliseconds;
    const expiresAt = endsAt + entryLeaseMilliseconds;
    const freezesAt = trial.freezeOffset === undefined ? undefined : expiresAt + trial.freezeOffset;
    const renewedUntil = endsAt - trial.renewalAge;
    const givenUpAt = deployment.clock.nowMilliseconds() + longestTrialMilliseconds;
    let ranUntil = 0;
    for (let at = deployment.clock.nowMilliseconds(); at < givenUpAt; at += 1) {
        if (at >= renewedUntil - streamMilliseconds && at < renewedUntil && at % 2 === 0) {
            submitShortJob(deployment, 0, at);
        }
        const isNearExpiry = Math.abs(at - expiresAt) <= reactionAllowanceMilliseconds + viewCycleMilliseconds;
        if (isNearExpiry && (at + trial.phase) % viewCycleMilliseconds === 0) {
            submitShortJob(deployment, 2, at);
        }
        if (at === endsAt) {
            endOwner(deployment, trial.ownerEnd);
        }
        if (at === freezesAt) {
            for (let agent = 0; agent < frozenCount; agent += 1) {
                deployment.setFrozen("agent", agent, true);
            }
        }
        if (at === submittedAt) {
            // One task, so that the others are known to be the owner's.
            deployment.submit(1, { ...longJob, taskCount: 1 });
        }
        else if (at > submittedAt && (at - submittedAt) % lookIntervalMilliseconds === 0) {
            submitShortJob(deployment, 1, at);
        }
        ranUntil = countOwnersRuns(deployment) > 0 ? at : ranUntil;
        const startedAt = at > submittedAt ? deployment.record.findStart(longJob.id, 0, submittedAt) : undefined;
        if (startedAt !== undefined && at > ranUntil) {
            return { gapMilliseconds: startedAt - ranUntil, ranMilliseconds: ranUntil - receivedAt + 1 };
        }
        deployment.advance(1);
    }
    return assert.fail(`the job was not started: ${JSON.stringify(trial)}`);
}

function createDeployment(): DirectDeployment {
    const deployment = new DirectDeployment({
        entries: 3,
        workers: workerCount,
        milliCores: 16_000,
        seed: 1,
        workerClockRate: 1 - workerClockRateError,
        getTaskDurationMilliseconds: run => run.job === longJob.id ? longTaskMilliseconds : shortTaskMilliseconds,
    });
    for (let worker = 0; worker < frozenCount; worker += 1) {
        setFault(deployment, worker, { rejectsStops: true });
    }
    return deployment;
}

/** Records the instants of the owner's announcements of the job; those after the last one that is to arrive are lost. */
function recordAnnouncements(deployment: DirectDeployment): readonly number[] {
    const instants: number[] = [];
    deployment.linkNetwork.datagramFault = (from, { kind }) => {
        const now = deployment.clock.nowMilliseconds();
        const isOwners = from === 0 && kind === "open-jobs" && deployment.listSubmissions(longJob.id).length > 0;
        if (isOwners && instants.at(-1) !== now) {
            instants.push(now);
        }
        return { copies: isOwners && instants.length > lastReceived ? 0 : 1, delayMilliseconds: 0 };
    };
    return instants;
}

function endOwner(deployment: DirectDeployment, ownerEnd: OwnerEnd): void {
    if (ownerEnd === "is killed") {
        deployment.killEntry(0);
    }
    else {
        deployment.setFrozen("entry", 0, true);
    }
}

function submitShortJob(deployment: DirectDeployment, entry: number, at: number): void {
    const number = at.toString(16).padStart(8, "0");
    deployment.submit(entry, {
        id: `a000000${entry}${number}`,
        taskCount: workerCount,
        maximumPerWorker: 1,
        needs: { milliCores: 200, memoryMegabytes: 1, accelerators: 0 },
    });
}

/** Counts the running tasks of the job that only the owner has started. */
function countOwnersRuns(deployment: DirectDeployment): number {
    deployment.workers.forEach(worker => worker.advance());
    return deployment.record.listRunningTasks()
        .filter(task => task.startsWith(longJob.id) && task !== `${longJob.id}/0`).length;
}
