/**
 * Passes requests on to the keeper of a submission, and answers those that other entries pass on.
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

/** Time between checks of a keeper that has not answered. */
const checkIntervalMilliseconds = 250;
/** Time between checks of a keeper that has the job. */
const acceptedCheckIntervalMilliseconds = 400;
/** Time without any answer after which the keeper counts as gone. */
const ownerTimeoutMilliseconds = 750;

/** Time for which a silent keeper is not asked again. */
const unavailableOwnerRetentionMilliseconds = 1_000;

/**
 * Asks the keeper of a submission on behalf of a caller.
 *
 * @param state - the entry's state
 * @param caller - the caller's request
 * @param submission - the submission
 * @param identity - what its id says
 * @param job - the job, when the caller submits
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
        collectOutcome(state, { submission, identity, job, callers: [caller] }, "its keeper is gone");
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
    state.logDecision("forwarded", "another entry keeps the submission", { submission, peer: identity.owner.address });
}

/**
 * Checks a keeper that was asked: asks again, or collects in its place.
 *
 * @param state - the entry's state
 * @param submission - the submission
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
        replaceWithCollection(state, row, "its keeper does not answer");
        return;
    }
    const operation = row.isAccepted ? "query" : row.callers.at(-1)?.operation ?? "query";
    state.forwards.set(submission, { ...row, awaitingReplySinceMilliseconds: awaitingSince ?? state.now });
    sendForwardRequest(state, row, operation);
    const nextCheck = row.isAccepted ? acceptedCheckIntervalMilliseconds : checkIntervalMilliseconds;
    state.scheduleTimer(state.now + nextCheck, "forward", submission);
}

/**
 * Collects in place of a keeper that says it is another incarnation, or that cannot be reached.
 *
 * @param state - the entry's state
 * @param submission - the submission
 * @param reason - why the keeper counts as gone
 */
export function handleForwardRefused(state: EntryState, submission: SubmissionKey, reason: string): void {
    const row = state.forwards.get(submission);
    if (row !== undefined) {
        const window = state.dependencies.settings.resubmissionWindowMilliseconds;
        state.unavailableOwners.set(row.identity.owner.incarnation, state.now + 2 * window);
        replaceWithCollection(state, row, reason);
    }
}

/**
 * Notes that the keeper has the job.
 *
 * @param state - the entry's state
 * @param submission - the submission
 */
export function recordForwardAccepted(state: EntryState, submission: SubmissionKey): void {
    state.forwards.update(submission, { isAccepted: true, awaitingReplySinceMilliseconds: undefined });
}

/**
 * Gives callers the result that the keeper sent.
 *
 * @param state - the entry's state
 * @param message - the result
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
    // A keeper that knows nothing of the job lost the submit on its way, or had not received it yet.
    const accepted = message.result.kind === "progress" && message.result.progress.state !== "issued";
    state.forwards.set(row.submission, {
        ...row,
        callers,
        isAccepted: accepted,
        awaitingReplySinceMilliseconds: undefined,
    });
}

/**
 * Answers a request that another entry passed on.
 *
 * @param state - the entry's state
 * @param sender - the other entry
 * @param message - the request
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
