/**
 * Jobs that this entry has passed on to another one, and the requests that wait for their answers.
 */
import { type DirectJob, isSameJob, type JobAnswer } from "../model/directJob.js";
import type { ForwardedAnswer } from "../model/forwarding.js";
import { announcedAfterMilliseconds } from "../policies/jobAnnouncements.js";
import { answerRequest } from "./answerRequest.js";
import type { EntryState } from "./entryState.js";
import { chooseForwardingLink, type ForwardingLink } from "./forwardingLinks.js";
import { receiveOwnJob, rejectOtherJob, type SubmissionDetails } from "./submissions.js";
import { judgeJob } from "./workerSeparation.js";

/** Largest age of a job that is passed on, in milliseconds; the caller of an older one may soon turn to another entry. */
const maximumAgeMilliseconds = announcedAfterMilliseconds;

/** Largest specification of a job that is passed on, in characters. */
const maximumSpecificationLength = 16 * 1024;

/** Largest number of jobs that are passed on to one entry and not answered. */
const maximumJobsPerLink = 200;

/** Metrics count the reasons of answers, which therefore do not come from other processes. */
const interruptedElsewhere: JobAnswer = { kind: "interrupted", reason: "another entry has interrupted the job" };

/** A job that was passed on and has not been answered. */
export interface ForwardedJob {
    readonly job: DirectJob;
    readonly address: string;
    /** Number of the submission, unique in this process. */
    readonly number: number;
    /** Earliest instant at which the job may have been sent to this entry. */
    readonly submittedAt: number;
    readonly forwardedAt: number;
    /** Ids of the requests that wait for its answer. */
    readonly requests: readonly number[];
    /** True when the other entry was told that this one stops. */
    readonly isInterrupted: boolean;
}

/**
 * Passes a new job on if that serves its caller better, or attaches the request to the job that was passed on before.
 *
 * @param state - state of the entry
 * @param request - id of the caller's request
 * @param job - submitted job
 * @param details - what else is known of the submission
 * @returns false if the entry has to process the job itself
 */
export function forwardJob(
    state: EntryState,
    request: number,
    job: DirectJob,
    { earliestArrival = state.now, isMemoryFull = false }: SubmissionDetails,
): boolean {
    if (joinForwardedJob(state, request, job)) {
        return true;
    }
    const submittedAt = Math.min(earliestArrival, state.readDelay.findEarliestArrival(state.now));
    const isChosen = !isMemoryFull && mayForward(state, job, submittedAt)
        && state.random.nextFraction() < state.policies.jobForwarding.share;
    const link = isChosen ? chooseForwardingLink(state) : undefined;
    if (link === undefined || countJobs(state, link.address) >= maximumJobsPerLink) {
        return false;
    }
    send(state, link, request, job, submittedAt);
    return true;
}

/**
 * Lets a request wait for the answer to a job that was passed on before.
 *
 * @param state - state of the entry
 * @param request - id of the request, of a caller or of another entry
 * @param job - submitted job
 * @returns false if no such job was passed on
 */
export function joinForwardedJob(state: EntryState, request: number, job: DirectJob): boolean {
    const known = state.forwardedJobs.get(job.id);
    if (known === undefined) {
        return false;
    }
    if (!isSameJob(known.job, job)) {
        rejectOtherJob(state, request, job, known.job.route);
        return true;
    }
    const requests = [...known.requests, request];
    state.forwardedJobs.set(job.id, { ...known, requests });
    state.log("info", "job submitted again", { job: job.id, callers: requests.length });
    return true;
}

/** Tells whether nothing is known of a job, so that another entry can decide on it as well as this one. */
function mayForward(state: EntryState, job: DirectJob, submittedAt: number): boolean {
    return state.policies.jobForwarding.share > 0 && !state.isShuttingDown
        && state.now - submittedAt <= maximumAgeMilliseconds && state.now >= state.inquiresUntil
        && job.specification.length <= maximumSpecificationLength
        && !state.jobs.has(job.id) && !state.stoppingRuns.has(job.id) && !state.orderedJobs.has(job.id, state.now)
        && !state.earlyCancellations.has(job.id) && state.announcedJobs.listOwners(job.id, state.now).length === 0
        && judgeJob(state, job) === "clear";
}

function countJobs(state: EntryState, address: string): number {
    let count = 0;
    for (const forwarded of state.forwardedJobs.values()) {
        count += forwarded.address === address ? 1 : 0;
    }
    return count;
}

function send(state: EntryState, link: ForwardingLink, request: number, job: DirectJob, submittedAt: number): void {
    const { address } = link;
    const number = state.takeSubmissionNumber();
    const ageMilliseconds = state.now - submittedAt;
    link.submissions.push({ number, ageMilliseconds, job });
    state.forwardedJobs.set(job.id, {
        job,
        address,
        number,
        submittedAt,
        forwardedAt: state.now,
        requests: [request],
        isInterrupted: false,
    });
    state.log("info", "job passed on", {
        job: job.id,
        submission: number,
        address,
        load: state.processorLoad.share,
        otherLoad: link.load,
    });
}

/**
 * Processes the answer to a job that was passed on. One that the other entry has not recorded is processed here.
 *
 * @param state - state of the entry
 * @param address - host and port of the other entry
 * @param forwardedAnswer - the answer
 */
export function receiveForwardedAnswer(state: EntryState, address: string, forwardedAnswer: ForwardedAnswer): void {
    const { number, job, answer } = forwardedAnswer;
    const known = state.forwardedJobs.get(job);
    if (known?.number !== number || known.address !== address) {
        return;
    }
    state.forwardedJobs.delete(job);
    if (answer === undefined || isRefusedByProcess(answer)) {
        for (const request of known.requests) {
            receiveOwnJob(state, request, known.job, { earliestArrival: known.submittedAt });
        }
        return;
    }
    answerForwardedJob(state, known, answer.kind === "interrupted" ? interruptedElsewhere : answer);
}

/** Tells whether a job was refused for a reason that concerns the other entry only. */
function isRefusedByProcess(answer: JobAnswer): boolean {
    return answer.kind === "refused"
        && (answer.reason === "shutting-down" || answer.reason === "queue-full" || answer.reason === "no-worker");
}

function answerForwardedJob(state: EntryState, forwarded: ForwardedJob, answer: JobAnswer): void {
    const { job, requests, forwardedAt } = forwarded;
    if (answer.kind !== "refused" && answer.kind !== "id-in-use") {
        state.orderedJobs.record(job.id, state.now);
    }
    if (answer.kind !== "done" && answer.kind !== "refused" && answer.kind !== "id-in-use") {
        rememberOwner(state, forwarded);
    }
    const afterMilliseconds = Math.round(state.now - forwardedAt);
    for (const request of requests) {
        answerRequest(state, request, job.id, answer, afterMilliseconds);
    }
    if (answer.kind === "done" || answer.kind === "cancelled") {
        // The other entry has logged it.
        return;
    }
    state.log("warn", "answer of another entry", {
        job: job.id,
        submission: forwarded.number,
        address: forwarded.address,
        answer: answer.kind,
        ...("reason" in answer ? { reason: answer.reason } : {}),
        afterMilliseconds,
        callers: requests.length,
    });
}

/**
 * Remembers that runs of a job may go on at the other entry, as if that had announced the job: when the job is submitted again here,
 * that entry is asked for its release first.
 */
function rememberOwner(state: EntryState, { job, address }: ForwardedJob): void {
    const link = state.forwardingLinks.get(address);
    if (link?.peer !== undefined) {
        state.announcedJobs.recordHeard(link.peer.incarnation, link.lastReplyAt);
        state.announcedJobs.record(link.peer, [[job.id, Number.MAX_SAFE_INTEGER, 0]], state.now);
    }
}

/**
 * Answers the callers of all jobs that were passed on to an entry whose answers can't arrive any more.
 *
 * @param state - state of the entry
 * @param address - host and port of the other entry
 * @param reason - why no answer can arrive
 */
export function endForwardedJobs(state: EntryState, address: string, reason: string): void {
    for (const forwarded of [...state.forwardedJobs.values()]) {
        if (forwarded.address === address) {
            state.forwardedJobs.delete(forwarded.job.id);
            answerForwardedJob(state, forwarded, { kind: "interrupted", reason });
        }
    }
}

/**
 * Handles the end of a caller's connection: a job without remaining callers is withdrawn.
 *
 * @param state - state of the entry
 * @param request - id of the caller's request
 * @param id - id of the job
 * @returns false if no job that was passed on has this request
 */
export function withdrawForwardedRequest(state: EntryState, request: number, id: string): boolean {
    const known = state.forwardedJobs.get(id);
    if (known?.requests.includes(request) !== true) {
        return false;
    }
    const requests = known.requests.filter(other => other !== request);
    if (requests.length > 0) {
        state.forwardedJobs.set(id, { ...known, requests });
        return true;
    }
    state.forwardedJobs.delete(id);
    if (withdraw(state, known, false)) {
        state.orderedJobs.record(id, state.now);
        rememberOwner(state, known);
    }
    return true;
}

/** Withdraws a submission; returns false if it was not sent yet, so that the other entry will never know of it. */
function withdraw(state: EntryState, { job, address, number }: ForwardedJob, isInterrupted: boolean): boolean {
    const link = state.forwardingLinks.get(address);
    const unsent = link?.submissions.findIndex(submission => submission.number === number) ?? -1;
    if (unsent >= 0) {
        link?.submissions.splice(unsent, 1);
        return false;
    }
    link?.withdrawals.push({ number, job: job.id, isInterrupted });
    return true;
}

/**
 * Cancels a job that was passed on.
 *
 * @param state - state of the entry
 * @param id - id of the job
 * @param route - name of the job's route
 * @returns false if no such job was passed on
 */
export function cancelForwardedJob(state: EntryState, id: string, route: string): boolean {
    const known = state.forwardedJobs.get(id);
    if (known?.job.route !== route) {
        return false;
    }
    state.forwardingLinks.get(known.address)?.cancellations.push({ job: id, route });
    return true;
}

/**
 * Asks the other entries to end all jobs that were passed on, because the process is about to stop.
 *
 * @param state - state of the entry
 */
export function interruptForwardedJobs(state: EntryState): void {
    for (const forwarded of [...state.forwardedJobs.values()]) {
        if (forwarded.isInterrupted) {
            continue;
        }
        state.forwardedJobs.set(forwarded.job.id, { ...forwarded, isInterrupted: true });
        if (!withdraw(state, forwarded, true)) {
            const { number, address, job } = forwarded;
            receiveForwardedAnswer(state, address, { number, job: job.id, answer: undefined });
        }
    }
}
