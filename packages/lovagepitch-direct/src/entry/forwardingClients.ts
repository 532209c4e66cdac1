/**
 * Submissions that other entries pass on to this one. Each is processed like one of a caller, whose connection is the one to the other entry.
 */
import type { JobAnswer } from "../model/directJob.js";
import type {
    ForwardedAnswer,
    ForwardedSubmission,
    ForwardedWithdrawal,
    ForwardingFrame,
} from "../model/forwarding.js";
import type { EntryProcess } from "../model/jobOwnership.js";
import {
    entryLeaseMilliseconds,
    heartbeatIntervalMilliseconds,
    idleHeartbeatIntervalMilliseconds,
} from "../model/timing.js";
import { answerRequest } from "./answerRequest.js";
import { endJob } from "./endJob.js";
import { type EntryState, mayHaveStarted } from "./entryState.js";
import { cancelForwardedJob, joinForwardedJob, withdrawForwardedRequest } from "./forwardedJobs.js";
import { pickProcess } from "./ownershipOutput.js";
import { receiveCallerDisconnected, receiveCancellation, receiveOwnJob, refuseJob } from "./submissions.js";

/** Largest number of open requests of one connection. */
const maximumRequests = 400;

/** Largest size of the specifications of the open requests of one connection, in characters. */
const maximumSpecificationLength = 4 * 1024 * 1024;

/** Silence after which a connection without open requests is closed, in milliseconds. */
const unusedSilenceMilliseconds = 3000;

const interrupted: JobAnswer = { kind: "interrupted", reason: "the entry that received the job stops" };

/** A connection of an entry that passes submissions on. */
export interface ForwardingClient {
    readonly connection: number;
    readonly from: EntryProcess;
    /** Latest instant, on this entry's clock, before which the newest frame was not sent. */
    readonly sentAfter: number;
    readonly lastReplySentAt: number;
    readonly pendingAnswers: ForwardedAnswer[];
}

/** An open request of another entry. */
export interface ForwardedRequest {
    readonly connection: number;
    /** Number of the submission in the sending process. */
    readonly number: number;
    readonly job: string;
    readonly specificationLength: number;
}

/**
 * Processes a frame of an entry that passes submissions on.
 *
 * @param state - state of the entry
 * @param connection - id of the connection
 * @param frame - the frame
 */
export function receiveForwardingFrame(state: EntryState, connection: number, frame: ForwardingFrame): void {
    const known = state.forwardingClients.get(connection);
    if (known === undefined) {
        state.log("info", "entry passes jobs on", { address: frame.from.address, entry: frame.from.incarnation });
    }
    const sentAfter = frame.newestSentAt === undefined
        ? known?.sentAfter ?? state.now
        : Math.min(state.now, Math.max(frame.newestSentAt + frame.heldMilliseconds, known?.sentAfter ?? 0));
    state.forwardingClients.set(connection, {
        connection,
        from: frame.from,
        sentAfter,
        lastReplySentAt: known?.lastReplySentAt ?? Number.NEGATIVE_INFINITY,
        pendingAnswers: known?.pendingAnswers ?? [],
    });
    frame.withdrawals.forEach(withdrawal => receiveWithdrawal(state, connection, withdrawal));
    frame.submissions.forEach(submission => receiveSubmission(state, connection, frame, submission, sentAfter));
    for (const { job, route } of frame.cancellations) {
        if (!cancelForwardedJob(state, job, route)) {
            receiveCancellation(state, job, route);
        }
    }
}

function receiveSubmission(
    state: EntryState,
    connection: number,
    frame: ForwardingFrame,
    { number, ageMilliseconds, job }: ForwardedSubmission,
    sentAfter: number,
): void {
    const isKnown = state.jobs.has(job.id) || state.stoppingRuns.has(job.id) || state.forwardedJobs.has(job.id)
        || state.orderedJobs.has(job.id, state.now);
    if (!isKnown && !canAccept(state, connection, frame)) {
        state.forwardingClients.get(connection)?.pendingAnswers.push({ number, job: job.id, answer: undefined });
        return;
    }
    const request = state.takeForwardedRequestNumber();
    state.forwardedRequests.set(request, {
        connection,
        number,
        job: job.id,
        specificationLength: job.specification.length,
    });
    const arrivedAt = sentAfter - ageMilliseconds;
    if (joinForwardedJob(state, request, job)) {
        // This entry has passed the job on itself, for a caller of its own.
        return;
    }
    receiveOwnJob(state, request, job, { earliestArrival: arrivedAt, deadlinesFrom: arrivedAt });
}

/** A job that is declined is not recorded, so that the other entry may process it itself. */
function canAccept(state: EntryState, connection: number, { configurationVersion }: ForwardingFrame): boolean {
    if (!acceptsSubmissions(state) || configurationVersion !== (state.configuration?.version ?? 0)) {
        return false;
    }
    let requests = 0;
    let specificationLength = 0;
    for (const other of state.forwardedRequests.values()) {
        requests += other.connection === connection ? 1 : 0;
        specificationLength += other.connection === connection ? other.specificationLength : 0;
    }
    return requests < maximumRequests && specificationLength < maximumSpecificationLength;
}

function acceptsSubmissions(state: EntryState): boolean {
    return state.policies.jobForwarding.acceptsJobs && !state.isShuttingDown && !state.isCutOff;
}

function receiveWithdrawal(state: EntryState, connection: number, withdrawal: ForwardedWithdrawal): void {
    const { number, job, isInterrupted } = withdrawal;
    for (const [request, forwarded] of state.forwardedRequests) {
        if (forwarded.connection !== connection || forwarded.number !== number) {
            continue;
        }
        if (isInterrupted && interruptOnlyRequest(state, request, job)) {
            return;
        }
        leaveJob(state, request, job);
        answerRequest(state, request, job, isInterrupted ? interrupted : { kind: "cancelled" }, 0);
        return;
    }
}

function leaveJob(state: EntryState, request: number, job: string): void {
    if (!withdrawForwardedRequest(state, request, job)) {
        receiveCallerDisconnected(state, request, job);
    }
}

/** Ends a job, and answers its only request; returns false if others wait for it. */
function interruptOnlyRequest(state: EntryState, request: number, job: string): boolean {
    const row = state.jobs.get(job);
    if (row === undefined || row.requests.some(other => other !== request)) {
        return false;
    }
    if (mayHaveStarted(row)) {
        endJob(state, row, interrupted);
    }
    else {
        refuseJob(state, row, "shutting-down");
    }
    return true;
}

/**
 * Ends the requests of a connection that was closed, as if their callers had left.
 *
 * @param state - state of the entry
 * @param connection - id of the connection
 */
export function receiveForwardingClientClosed(state: EntryState, connection: number): void {
    if (!state.forwardingClients.has(connection)) {
        return;
    }
    for (const [request, { job, connection: other }] of [...state.forwardedRequests]) {
        if (other === connection) {
            leaveJob(state, request, job);
            state.forwardedRequests.delete(request);
        }
    }
    state.forwardingClients.delete(connection);
}

/**
 * Closes connections of entries that were silent for the time of their lease.
 *
 * @param state - state of the entry
 */
export function closeSilentForwardingClients(state: EntryState): void {
    if (state.forwardingClients.size === 0) {
        return;
    }
    const inUse = listUsedConnections(state);
    for (const { connection, from, sentAfter } of [...state.forwardingClients.values()]) {
        const limit = inUse.has(connection) ? entryLeaseMilliseconds : unusedSilenceMilliseconds;
        if (state.now - sentAfter > limit) {
            state.log("warn", "entry that passes jobs on is silent", {
                address: from.address,
                entry: from.incarnation,
                silence: Math.round(state.now - sentAfter),
            });
            receiveForwardingClientClosed(state, connection);
            state.outputs.push({ kind: "close-connection", connection });
        }
    }
}

function listUsedConnections(state: EntryState): ReadonlySet<number> {
    return new Set([...state.forwardedRequests.values()].map(({ connection }) => connection));
}

/**
 * Sends answers to the entries that pass jobs on, and heartbeats with the load of this entry.
 *
 * @param state - state of the entry
 */
export function sendForwardingReplies(state: EntryState): void {
    if (state.forwardingClients.size === 0) {
        return;
    }
    const inUse = listUsedConnections(state);
    for (const client of state.forwardingClients.values()) {
        const { connection, lastReplySentAt, pendingAnswers } = client;
        const interval = inUse.has(connection) ? heartbeatIntervalMilliseconds : idleHeartbeatIntervalMilliseconds;
        if (pendingAnswers.length === 0 && state.now - lastReplySentAt < interval) {
            continue;
        }
        state.forwardingClients.set(connection, { ...client, lastReplySentAt: state.now, pendingAnswers: [] });
        const reply = {
            kind: "forwarding-reply",
            from: pickProcess(state),
            sentAt: state.now,
            load: state.processorLoad.smoothedShare,
            acceptsSubmissions: acceptsSubmissions(state),
            configurationVersion: state.configuration?.version ?? 0,
            answers: pendingAnswers,
        } as const;
        state.outputs.push({ kind: "forwarding-reply", connection, reply });
    }
}
