/**
 * Jobs that callers have submitted at two entries: the second entry starts a job when the first one has released it.
 */
import type { JobOwner, OpenJob, OwnershipMessage, ReleaseNotice, ReleaseRequest } from "../model/jobOwnership.js";
import { reactionAllowanceMilliseconds } from "../model/timing.js";
import {
    announcedAfterMilliseconds,
    type AnnouncedJob,
    announcementIntervalMilliseconds,
} from "../policies/jobAnnouncements.js";
import { canReceiveTasks } from "./agentFrames.js";
import { endJob } from "./endJob.js";
import { type EntryState, type JobRow, mayHaveStarted } from "./entryState.js";
import { judgeJob } from "./workerSeparation.js";

/** Time between two requests for the release of a job, in milliseconds. */
const requestIntervalMilliseconds = 50;

/** Time after a cut in which each entry with open jobs is heard, although a datagram is lost, in milliseconds. */
const listeningMilliseconds = 2 * announcementIntervalMilliseconds + reactionAllowanceMilliseconds;

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
 * Announces the jobs that have been open for some time to the other entries.
 *
 * @param state - state of the entry
 */
export function announceJobs(state: EntryState): void {
    if (state.announcedRevision !== state.knownEntriesRevision) {
        state.announcedRevision = state.knownEntriesRevision;
        state.jobAnnouncements.repeat(true);
    }
    const parts = state.jobAnnouncements.take(listOpenJobs(state), state.now);
    for (const jobs of parts) {
        for (const { address } of state.knownEntries.values()) {
            if (address !== state.identity.address) {
                send(state, address, { kind: "open-jobs", from: pickProcess(state), jobs });
            }
        }
    }
}

function* listOpenJobs(state: EntryState): Iterable<AnnouncedJob> {
    for (const { job, latestSubmission, acceptedAt, submittedAt } of state.jobs.values()) {
        yield { job: job.id, submission: latestSubmission, acceptedAt, submittedAt };
    }
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
 * Detects that the entry was cut off from all agents, and so perhaps from the entries. Other entries may have started its jobs
 * meanwhile: it announces them again, and places no tasks until the answers may have arrived.
 *
 * @param state - state of the entry
 */
export function detectCut(state: EntryState): void {
    const wasCutOff = state.isCutOff;
    state.isCutOff = !hearsAgent(state);
    if (!wasCutOff || state.isCutOff) {
        return;
    }
    state.listensUntil = state.now + listeningMilliseconds;
    state.jobAnnouncements.repeat(false);
    const [oldest] = state.jobs.values();
    if (oldest !== undefined && state.now - oldest.acceptedAt >= announcedAfterMilliseconds) {
        state.placesFrom = Math.max(state.placesFrom, state.now + reactionAllowanceMilliseconds);
    }
}

function hearsAgent(state: EntryState): boolean {
    // Runs in every tick, and the first agent mostly tells.
    for (const row of state.agents.values()) {
        if (canReceiveTasks(state, row)) {
            return true;
        }
    }
    return false;
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
            send(state, owner.address, {
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
 * Processes a message from another entry.
 *
 * @param state - state of the entry
 * @param message - announcement, request or notice
 */
export function receiveOwnershipMessage(state: EntryState, message: OwnershipMessage): void {
    if (message.from.incarnation === state.identity.incarnation) {
        return;
    }
    if (state.announcedJobs.recordHeard(message.from.incarnation, state.now)) {
        state.jobAnnouncements.repeat(false);
    }
    switch (message.kind) {
        case "open-jobs":
            state.announcedJobs.record(message.from, message.jobs, state.now);
            message.jobs.forEach(job => receiveOpenJob(state, message.from, job));
            return;
        case "release-job":
            return receiveReleaseRequest(state, message);
        case "job-released":
            receiveReleaseNotice(state, message);
    }
}

function receiveOpenJob(state: EntryState, from: OwnershipMessage["from"], openJob: OpenJob): void {
    const [job, submission, ageMilliseconds] = openJob;
    const row = state.jobs.get(job);
    const isOlderThere = row !== undefined && state.now - row.submittedAt < ageMilliseconds;
    if (isOlderThere && !includesOwner(state.heldJobs.get(job)?.owners, { ...from, submission })) {
        holdAnnouncedJob(state, row);
    }
}

/** Tells whether owners include a process with the given submission or a later one. */
function includesOwner(owners: readonly JobOwner[] = [], { incarnation, submission }: JobOwner): boolean {
    return owners.some(owner => owner.incarnation === incarnation && owner.submission >= submission);
}

/** A request that names an earlier submission than the latest one is late: the caller has come back. */
function receiveReleaseRequest(state: EntryState, request: ReleaseRequest): void {
    const { job, ownerSubmission } = request;
    const row = state.jobs.get(job);
    if (request.owner !== state.identity.incarnation) {
        return;
    }
    const hadStarted = (row !== undefined && mayHaveStarted(row)) || state.orderedJobs.has(job, state.now);
    if (row !== undefined) {
        if (row.latestSubmission > ownerSubmission) {
            return;
        }
        endJob(state, row, { kind: "interrupted", reason: "the job was submitted to another entry" });
    }
    if (!state.stoppingRuns.has(job)) {
        send(state, request.from.address, {
            ...request,
            kind: "job-released",
            from: pickProcess(state),
            mayHaveStarted: hadStarted,
            owners: listOtherOwners(state, request),
        });
    }
}

/** Lists the processes that may have a job open besides the asker of a request and this one. */
function listOtherOwners(state: EntryState, { job, asker }: ReleaseRequest): readonly JobOwner[] {
    return state.announcedJobs.listOwners(job, state.now)
        .filter(({ incarnation }) => {
            return incarnation !== asker && state.announcedJobs.mayBeActive(incarnation, state.now);
        })
        .map(({ address, incarnation, submission }) => ({ address, incarnation, submission }));
}

function receiveReleaseNotice(state: EntryState, notice: ReleaseNotice): void {
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

function pickProcess(state: EntryState): OwnershipMessage["from"] {
    return { address: state.identity.address, incarnation: state.identity.incarnation };
}

function send(state: EntryState, address: string, message: OwnershipMessage): void {
    state.outputs.push({ kind: "ownership", address, message });
}
