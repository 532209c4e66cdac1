/**
 * Forwards requests to the owner entry of a submission, and handles the requests that other entries forward. The
 * owner is the entry incarnation that issued the submission id and holds its state; messages call it `keeper`.
 */
import type { PeerIdentity, SubmissionIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { ForwardRequest, ForwardResult } from "@lovagepitch/types/peerMessage";
import { digestJson } from "@lovagepitch/utils/digest";
import type { EntryState } from "../entryState.js";
import type { ForwardedCaller, ForwardRow } from "../tables/forwardRow.js";
import { cancelSubmission, createMismatchProblem, querySubmission, submitJob } from "./callerRequests.js";
import { collectOutcome } from "./outcomeCollection.js";
import { respond } from "./respond.js";

/** Time between checks of an owner that has not acknowledged the job. */
const checkIntervalMilliseconds = 250;
/** Time between checks of an owner that has acknowledged the job. */
const acceptedCheckIntervalMilliseconds = 400;
/** Time without any reply after which the owner counts as unavailable. */
const ownerTimeoutMilliseconds = 750;

/** Time for which nothing is forwarded to an owner that did not reply. */
const unavailableOwnerRetentionMilliseconds = 1_000;

/**
 * Forwards a caller's request to the owner of its submission.
 *
 * @param state - entry state, updated in place
 * @param caller - id and operation of the caller's request
 * @param submission - id of the submission
 * @param identity - decoded submission id
 * @param job - job to submit; undefined for a query or a cancellation
 */
export function forwardRequest(
    state: EntryState,
    caller: ForwardedCaller,
    submission: SubmissionKey,
    identity: SubmissionIdentity,
    job: JobRequest | undefined,
): void {
    const existing = state.submissions.get(submission);
    if (existing?.state === "finished") {
        respond(state, { kind: "caller", request: caller.request }, submission, existing.result);
        return;
    }
    const isOwnerUnavailable = (state.unavailableOwners.get(identity.owner.incarnation) ?? 0) > state.now
        || identity.owner.address === state.dependencies.identity.address;
    if (isOwnerUnavailable || state.collections.has(submission)) {
        collectOutcome(state, { submission, identity, job, callers: [caller] }, "its owner entry is unavailable");
        return;
    }
    const earlier = state.forwards.get(submission);
    if (job !== undefined && earlier?.job !== undefined && digestJson(job) !== digestJson(earlier.job)) {
        const problem = state.recordRefusal(createMismatchProblem());
        respond(state, { kind: "caller", request: caller.request }, submission, { kind: "problem", problem });
        return;
    }
    const row: ForwardRow = {
        submission,
        identity,
        startedAtMilliseconds: earlier?.startedAtMilliseconds ?? state.now,
        isAccepted: earlier?.isAccepted ?? false,
        job: job ?? earlier?.job,
        callers: [...earlier?.callers ?? [], caller],
        awaitingReplySinceMilliseconds: earlier?.awaitingReplySinceMilliseconds ?? state.now,
    };
    state.forwards.set(submission, row);
    sendForwardRequest(state, row, caller.operation);
    if (earlier === undefined) {
        state.scheduleTimer(state.now + checkIntervalMilliseconds, "forward", submission);
    }
    state.logDecision("forwarded", "another entry owns the submission", { submission, peer: identity.owner.address });
}

/**
 * Checks a forwarded request: repeats it, or starts a collection when the owner does not reply.
 *
 * @param state - entry state, updated in place
 * @param submission - id of the forwarded submission
 */
export function checkForward(state: EntryState, submission: SubmissionKey): void {
    const row = state.forwards.get(submission);
    if (row === undefined) {
        return;
    }
    const awaitingSince = row.awaitingReplySinceMilliseconds;
    if (awaitingSince !== undefined && state.now - awaitingSince >= ownerTimeoutMilliseconds) {
        state.unavailableOwners.set(
            row.identity.owner.incarnation,
            state.now + unavailableOwnerRetentionMilliseconds,
        );
        replaceWithCollection(state, row, "its owner entry does not reply");
        return;
    }
    const operation = row.isAccepted ? "query" : row.callers.at(-1)?.operation ?? "query";
    state.forwards.set(submission, { ...row, awaitingReplySinceMilliseconds: awaitingSince ?? state.now });
    sendForwardRequest(state, row, operation);
    const nextCheck = row.isAccepted ? acceptedCheckIntervalMilliseconds : checkIntervalMilliseconds;
    state.scheduleTimer(state.now + nextCheck, "forward", submission);
}

/**
 * Starts a collection because the process at the owner's address is another incarnation.
 *
 * @param state - entry state, updated in place
 * @param submission - id of the forwarded submission
 * @param reason - why the owner counts as unavailable, for the log
 */
export function handleForwardRefused(state: EntryState, submission: SubmissionKey, reason: string): void {
    const row = state.forwards.get(submission);
    if (row !== undefined) {
        const resubmissionWindowMilliseconds = state.dependencies.settings.resubmissionWindowMilliseconds;
        state.unavailableOwners.set(row.identity.owner.incarnation, state.now + 2 * resubmissionWindowMilliseconds);
        replaceWithCollection(state, row, reason);
    }
}

/**
 * Records that the owner has acknowledged the job.
 *
 * @param state - entry state, updated in place
 * @param submission - id of the forwarded submission
 */
export function recordForwardAccepted(state: EntryState, submission: SubmissionKey): void {
    state.forwards.update(submission, { isAccepted: true, awaitingReplySinceMilliseconds: undefined });
}

/**
 * Sends the owner's result to the waiting callers.
 *
 * @param state - entry state, updated in place
 * @param message - result or progress of the forwarded submission
 */
export function applyForwardResult(state: EntryState, message: ForwardResult): void {
    const row = state.forwards.get(message.submission);
    if (row === undefined) {
        return;
    }
    const isProgress = message.result.kind === "progress";
    const answeredCallers = row.callers.filter(caller => !isProgress || caller.operation === "query");
    for (const caller of answeredCallers) {
        respond(state, { kind: "caller", request: caller.request }, row.submission, message.result);
    }
    const callers = row.callers.filter(caller => !answeredCallers.includes(caller));
    if (callers.length === 0) {
        state.forwards.delete(row.submission);
        return;
    }
    // In the state "issued", the owner has not received the job: the message was lost or is still in transit.
    const isAccepted = message.result.kind === "progress" && message.result.progress.state !== "issued";
    state.forwards.set(row.submission, {
        ...row,
        callers,
        isAccepted,
        awaitingReplySinceMilliseconds: undefined,
    });
}

/**
 * Handles a request that another entry has forwarded.
 *
 * @param state - entry state, updated in place
 * @param sender - identity of the forwarding entry
 * @param message - forwarded request and the incarnation that it is addressed to
 */
export function handleForwardRequest(state: EntryState, sender: PeerIdentity, message: ForwardRequest): void {
    const submission = message.submission;
    const identity = state.dependencies.codec.decode(submission);
    if (message.keeper !== state.dependencies.identity.incarnation || identity.err) {
        state.send(sender.address, { type: "forwardRefused", submission });
        return;
    }
    const request = message.request;
    const requester = { kind: "entry" as const, address: sender.address, operation: request.operation };
    if (request.operation === "submit") {
        submitJob(state, { requester, submission, identity: identity.val, job: request.job, isClaimed: false });
        return;
    }
    if (request.operation === "cancel") {
        cancelSubmission(state, requester, submission);
        return;
    }
    querySubmission(state, requester, submission);
}

function replaceWithCollection(state: EntryState, row: ForwardRow, reason: string): void {
    state.forwards.delete(row.submission);
    collectOutcome(state, row, reason);
}

function sendForwardRequest(state: EntryState, row: ForwardRow, operation: ForwardedCaller["operation"]): void {
    const request = operation === "submit" && row.job !== undefined
        ? { operation, job: row.job }
        : { operation: operation === "submit" ? "query" as const : operation };
    state.send(row.identity.owner.address, {
        type: "forwardRequest",
        submission: row.submission,
        keeper: row.identity.owner.incarnation,
        request,
    });
}
