/**
 * Jobs that other entries have open too: no task of them is placed until these have released them.
 */
import type { JobOwner, ReleaseNotice } from "../model/jobOwnership.js";
import { endJob } from "./endJob.js";
import type { EntryState, JobRow } from "./entryState.js";
import { pickProcess, sendOwnership } from "./ownershipOutput.js";
import { judgeJob } from "./workerSeparation.js";

/** Time between two requests for the release of a job, in milliseconds. */
const requestIntervalMilliseconds = 50;

/** A job of which no task is placed until its owners have released it. */
export interface HeldJob {
    /** Submission of the job at this entry. */
    readonly submission: number;
    /** Owners that have not released it. */
    readonly owners: readonly JobOwner[];
    /** Owners that have released it. */
    readonly released: readonly JobOwner[];
    readonly heldAt: number;
    readonly requestedAt: number;
}

/**
 * Holds a job if another entry has announced it.
 *
 * @param state - state of the entry
 * @param row - row of the job
 * @returns true when no task of it may be placed yet
 */
export function holdAnnouncedJob(state: EntryState, row: JobRow): boolean {
    const owners = state.announcedJobs.listOwners(row.job.id, state.now);
    if (owners.length === 0) {
        return false;
    }
    const known = state.heldJobs.get(row.job.id);
    state.heldJobs.set(row.job.id, {
        submission: row.submission,
        owners,
        released: known?.released ?? [],
        heldAt: known?.heldAt ?? state.now,
        requestedAt: Number.NEGATIVE_INFINITY,
    });
    if (known === undefined) {
        state.log("info", "job of another entry is held", {
            job: row.job.id,
            submission: row.submission,
            owners: owners.map(({ address }) => address),
        });
    }
    return true;
}

/**
 * Requests the release of held jobs, and stops waiting for owners whose runs have ended because they are silent.
 *
 * @param state - state of the entry
 */
export function requestReleases(state: EntryState): void {
    for (const [job, held] of [...state.heldJobs]) {
        if (state.jobs.get(job)?.submission !== held.submission) {
            state.heldJobs.delete(job);
            continue;
        }
        if (state.now - held.requestedAt < requestIntervalMilliseconds) {
            continue;
        }
        for (const owner of held.owners) {
            sendOwnership(state, owner.address, {
                kind: "release-job",
                from: pickProcess(state),
                job,
                owner: owner.incarnation,
                ownerSubmission: owner.submission,
                asker: state.identity.incarnation,
                askerSubmission: held.submission,
            });
        }
        // After a pause or a cut, what the owners have sent meanwhile is received first.
        const isDeaf = state.isCutOff || state.now < Math.max(state.placesFrom, state.listensUntil);
        const active = held.owners.filter(({ incarnation }) => {
            return isDeaf || state.announcedJobs.mayBeActive(incarnation, state.now);
        });
        state.heldJobs.set(job, { ...held, owners: active, requestedAt: state.now });
        if (active.length < held.owners.length) {
            state.orderedJobs.record(job, state.now);
        }
        if (active.length === 0) {
            startHeldJob(state, job, held, "owner of a held job is silent");
        }
    }
}

/**
 * Processes the notice of an owner that it has released a job, which starts when no other owner is left.
 *
 * @param state - state of the entry
 * @param notice - notice of the owner
 */
export function receiveReleaseNotice(state: EntryState, notice: ReleaseNotice): void {
    const { job, owner, ownerSubmission } = notice;
    const held = state.heldJobs.get(job);
    const isOwn = notice.asker === state.identity.incarnation && notice.askerSubmission === held?.submission;
    if (!isOwn || notice.from.incarnation !== owner) {
        return;
    }
    state.announcedJobs.remove(job, { incarnation: owner, submission: ownerSubmission });
    if (notice.mayHaveStarted) {
        state.orderedJobs.record(job, state.now);
    }
    const released = [...held.released, { ...notice.from, submission: ownerSubmission }];
    const known = held.owners.filter(other => !includesOwner(released, other));
    const named = notice.owners.filter(other => {
        return other.incarnation !== state.identity.incarnation && !includesOwner([...released, ...known], other);
    });
    for (const other of named) {
        state.announcedJobs.recordHeard(other.incarnation, state.now);
    }
    const owners = [...known, ...named];
    const requestedAt = named.length > 0 ? Number.NEGATIVE_INFINITY : held.requestedAt;
    state.heldJobs.set(job, { ...held, owners, released, requestedAt });
    if (owners.length === 0) {
        startHeldJob(state, job, held, "job released by another entry");
    }
}

/**
 * Tells whether owners include a process with the given submission or a later one.
 *
 * @param owners - owners to look at; undefined for none
 * @param owner - its process and submission
 * @returns true when they do
 */
export function includesOwner(
    owners: readonly JobOwner[] | undefined,
    { incarnation, submission }: JobOwner,
): boolean {
    return owners?.some(other => other.incarnation === incarnation && other.submission >= submission) === true;
}

function startHeldJob(state: EntryState, job: string, held: HeldJob, event: string): void {
    state.heldJobs.delete(job);
    state.isPlacementDue = true;
    state.log("info", event, {
        job,
        submission: held.submission,
        heldMilliseconds: Math.round(state.now - held.heldAt),
    });
    const row = state.jobs.get(job);
    if (row !== undefined && judgeJob(state, row.job) === "crashing") {
        endJob(state, row, { kind: "failed" });
    }
}
