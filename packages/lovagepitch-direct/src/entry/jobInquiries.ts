/**
 * Inquiries about jobs that their callers may have handed to another entry before this one has read them: no task of such a job is
 * placed until every other entry has answered that it does not have it. One that has it asks for its release instead.
 */
import type { JobInquiry, JobInquiryAnswer, OpenJob } from "../model/jobOwnership.js";
import { lostAgentTimeoutMilliseconds } from "../model/timing.js";
import { ownerLeaseMilliseconds } from "../policies/announcedJobs.js";
import {
    announcedAfterMilliseconds,
    divideIntoDatagrams,
    listeningMilliseconds,
} from "../policies/jobAnnouncements.js";
import type { EntryState, JobRow } from "./entryState.js";
import { holdAnnouncedJob } from "./heldJobs.js";
import { pickProcess, sendOwnership } from "./ownershipOutput.js";

/** Time between two inquiries about a job, in milliseconds. */
const inquiryIntervalMilliseconds = 50;

/** A job of which no task is placed until other entries have answered. */
export interface Inquiry {
    /** Submission of the job at this entry. */
    readonly submission: number;
    /** Addresses of the entries that have not answered. */
    readonly addresses: ReadonlySet<string>;
    /** Time after which entries that have sent nothing are not waited for. */
    readonly silenceLimitMilliseconds: number;
    readonly beganAt: number;
    readonly askedAt: number;
}

/**
 * Begins an inquiry about a job that its caller may have submitted elsewhere: it was possibly sent so long ago that the caller
 * has given it up since, or this entry may have missed the announcements of another one. A job that is not as old is announced.
 *
 * @param state - state of the entry
 * @param row - row of the job
 */
export function inquireOldJob(state: EntryState, row: JobRow): void {
    const ageMilliseconds = state.now - row.submittedAt;
    if (ageMilliseconds >= lostAgentTimeoutMilliseconds) {
        beginInquiry(state, row, ownerLeaseMilliseconds);
    }
    else if (state.now < state.inquiresUntil) {
        beginInquiry(state, row, listeningMilliseconds);
    }
    else if (ageMilliseconds >= announcedAfterMilliseconds) {
        state.jobAnnouncements.repeat(false);
    }
}

function beginInquiry(state: EntryState, row: JobRow, silenceLimitMilliseconds: number): void {
    const addresses = new Set<string>();
    for (const { address } of state.knownEntries.values()) {
        if (address !== state.identity.address) {
            addresses.add(address);
        }
    }
    if (addresses.size === 0) {
        return;
    }
    const { job, submission } = row;
    state.inquiries.set(job.id, {
        submission,
        addresses,
        silenceLimitMilliseconds,
        beganAt: state.now,
        askedAt: Number.NEGATIVE_INFINITY,
    });
    state.log("info", "other entries are asked for a job that may be old", {
        job: job.id,
        submission,
        ageMilliseconds: Math.round(state.now - row.submittedAt),
        entries: addresses.size,
    });
}

/**
 * Begins inquiries about the open jobs after a pause, in which their callers may have turned to other entries.
 *
 * @param state - state of the entry
 */
export function inquireOpenJobs(state: EntryState): void {
    for (const row of state.jobs.values()) {
        inquireOldJob(state, row);
    }
}

/**
 * Sends the inquiries that are due, and ends those whose missing answers can't come from an entry with runs of the job.
 *
 * @param state - state of the entry
 */
export function sendInquiries(state: EntryState): void {
    const dueByAddress = new Map<string, OpenJob[]>();
    for (const [job, inquiry] of [...state.inquiries]) {
        const row = state.jobs.get(job);
        if (row?.submission !== inquiry.submission) {
            state.inquiries.delete(job);
        }
        else if (state.now - inquiry.beganAt > ownerLeaseMilliseconds || isUnanswerable(state, inquiry)) {
            // An entry that has announced the job is asked for its release.
            state.orderedJobs.record(job, state.now);
            endInquiry(state, job, inquiry);
            holdAnnouncedJob(state, row);
        }
        else if (state.now - inquiry.askedAt >= inquiryIntervalMilliseconds) {
            state.inquiries.set(job, { ...inquiry, askedAt: state.now });
            for (const address of inquiry.addresses) {
                state.silentSince.set(address, state.silentSince.get(address) ?? state.now);
                const due = dueByAddress.get(address) ?? [];
                due.push([job, row.latestSubmission, Math.round(state.now - row.submittedAt)]);
                dueByAddress.set(address, due);
            }
        }
    }
    for (const [address, due] of dueByAddress) {
        for (const jobs of divideIntoDatagrams(due)) {
            sendOwnership(state, address, { kind: "inquire-jobs", from: pickProcess(state), jobs });
        }
    }
}

/** Tells whether all entries that have not answered have been silent for long. */
function isUnanswerable(state: EntryState, { addresses, silenceLimitMilliseconds }: Inquiry): boolean {
    return [...addresses].every(address => {
        return state.now - (state.silentSince.get(address) ?? state.now) > silenceLimitMilliseconds;
    });
}

/**
 * Answers an inquiry of another entry, which has been processed as an announcement. Jobs that are open here are announced to it.
 *
 * @param state - state of the entry
 * @param inquiry - the inquiry
 */
export function answerInquiry(state: EntryState, inquiry: JobInquiry): void {
    const absent = inquiry.jobs.flatMap(([job, submission]) => {
        // A job that was passed on may reach its new owner after this inquiry has.
        const mayBeOpen = state.jobs.has(job) || state.stoppingRuns.has(job) || state.forwardedJobs.has(job);
        return mayBeOpen ? [] : [[job, submission] as const];
    });
    const open = inquiry.jobs.flatMap(([job]): readonly OpenJob[] => {
        const row = state.inquiries.has(job) ? undefined : state.jobs.get(job);
        return row === undefined ? [] : [[job, row.latestSubmission, Math.round(state.now - row.submittedAt)]];
    });
    if (open.length > 0) {
        sendOwnership(state, inquiry.from.address, { kind: "open-jobs", from: pickProcess(state), jobs: open });
    }
    if (absent.length > 0) {
        sendOwnership(state, inquiry.from.address, {
            kind: "jobs-not-open",
            from: pickProcess(state),
            asker: inquiry.from.incarnation,
            jobs: absent,
        });
    }
}

/**
 * Processes the answer to an inquiry. An answer that names an earlier submission is late and has no effect.
 *
 * @param state - state of the entry
 * @param answer - the answer
 */
export function receiveInquiryAnswer(state: EntryState, answer: JobInquiryAnswer): void {
    if (answer.asker !== state.identity.incarnation) {
        return;
    }
    for (const [job, submission] of answer.jobs) {
        const inquiry = state.inquiries.get(job);
        if (inquiry === undefined || state.jobs.get(job)?.latestSubmission !== submission) {
            continue;
        }
        const addresses = new Set(inquiry.addresses);
        addresses.delete(answer.from.address);
        if (addresses.size === 0) {
            endInquiry(state, job, { ...inquiry, addresses });
        }
        else {
            state.inquiries.set(job, { ...inquiry, addresses });
        }
    }
}

function endInquiry(state: EntryState, job: string, { submission, addresses, beganAt }: Inquiry): void {
    state.inquiries.delete(job);
    state.isPlacementDue = true;
    state.log("info", "inquiry about a job ended", {
        job,
        submission,
        unanswered: addresses.size,
        inquiredMilliseconds: Math.round(state.now - beganAt),
    });
}
