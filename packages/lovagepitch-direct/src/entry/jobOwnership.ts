/**
 * Which jobs this entry tells the others that it has open, and what it does when they tell it of theirs or ask for a release.
 */
import type {
    JobInquiry,
    JobOwner,
    OpenJob,
    OpenJobsMessage,
    OwnershipMessage,
    ReleaseRequest,
} from "../model/jobOwnership.js";
import type { AnnouncedJob } from "../policies/jobAnnouncements.js";
import { endJob } from "./endJob.js";
import { type EntryState, mayHaveStarted } from "./entryState.js";
import { holdAnnouncedJob, includesOwner, receiveReleaseNotice } from "./heldJobs.js";
import { answerInquiry, receiveInquiryAnswer } from "./jobInquiries.js";
import { pickProcess, sendOwnership } from "./ownershipOutput.js";

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
        const message = { kind: "open-jobs", from: pickProcess(state), jobs } as const;
        for (const { address } of state.knownEntries.values()) {
            if (address !== state.identity.address) {
                sendOwnership(state, address, message);
            }
        }
    }
}

function* listOpenJobs(state: EntryState): Iterable<AnnouncedJob> {
    for (const { job, latestSubmission, acceptedAt, submittedAt } of state.jobs.values()) {
        // Inquiries name the job themselves.
        if (state.inquiries.has(job.id)) {
            continue;
        }
        yield { job: job.id, submission: latestSubmission, acceptedAt, submittedAt };
    }
}

/**
 * Processes a message from another entry.
 *
 * @param state - state of the entry
 * @param message - announcement, request or notice
 * @param receivedAt - when it was read, in monotonic milliseconds
 */
export function receiveOwnershipMessage(
    state: EntryState,
    message: OwnershipMessage,
    receivedAt = state.now,
): void {
    if (message.from.incarnation === state.identity.incarnation) {
        return;
    }
    state.silentSince.delete(message.from.address);
    if (state.announcedJobs.recordHeard(message.from.incarnation, receivedAt)) {
        state.jobAnnouncements.repeat(false);
    }
    switch (message.kind) {
        case "open-jobs":
        case "inquire-jobs":
            state.announcedJobs.record(message.from, message.jobs, state.now);
            message.jobs.forEach(job => receiveOpenJob(state, message, job));
            return message.kind === "inquire-jobs" ? answerInquiry(state, message) : undefined;
        case "jobs-not-open":
            return receiveInquiryAnswer(state, message);
        case "release-job":
            return receiveReleaseRequest(state, message);
        case "job-released":
            receiveReleaseNotice(state, message);
    }
}

function receiveOpenJob(state: EntryState, message: OpenJobsMessage | JobInquiry, openJob: OpenJob): void {
    const { from } = message;
    const [job, submission, ageMilliseconds] = openJob;
    const row = state.jobs.get(job);
    if (row === undefined || includesOwner(state.heldJobs.get(job)?.owners, { ...from, submission })) {
        return;
    }
    // Two entries that inquire about a job know no age exactly, so their names decide which of them asks for the release.
    const isToBeReleased = message.kind === "inquire-jobs" && state.inquiries.has(job)
        ? state.identity.incarnation > from.incarnation
        : state.now - row.submittedAt < ageMilliseconds;
    if (isToBeReleased) {
        holdAnnouncedJob(state, row);
    }
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
        sendOwnership(state, request.from.address, {
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
