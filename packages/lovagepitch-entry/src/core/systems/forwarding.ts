/**
 * Passes requests on to the keeper of a submission, and answers those that other entries pass on.
 */
import type { PeerIdentity, SubmissionIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { ForwardRequest, ForwardResult } from "@lovagepitch/types/peerMessage";
import { digestJson } from "@lovagepitch/utils/digest";
import type { EntryState } from "../entryState.js";
import type { ForwardedCaller, ForwardRow } from "../tables/forwardRow.js";
import { cancelKept, createMismatch, queryKept, submitKept } from "./callerRequests.js";
import { collect } from "./collecting.js";
import { respond } from "./respond.js";

/** Time between checks of a keeper that has not answered. */
const checkMilliseconds = 250;
/** Time between checks of a keeper that has the job. */
const acceptedCheckMilliseconds = 400;
/** Time without any answer after which the keeper counts as gone. */
const goneMilliseconds = 750;

/** Time for which a silent keeper is not asked again. */
const silenceRememberedMilliseconds = 1_000;

/**
 * Asks the keeper of a submission on behalf of a caller.
 *
 * @param state - the entry's state
 * @param caller - the caller's request
 * @param submission - the submission
 * @param identity - what its id says
 * @param job - the job, when the caller submits
 */
export function forward(
    state: EntryState,
    caller: ForwardedCaller,
    submission: SubmissionKey,
    identity: SubmissionIdentity,
    job: JobRequest | undefined,
): void {
    const kept = state.submissions.get(submission);
    if (kept?.state === "finished") {
        respond(state, { kind: "caller", request: caller.request }, submission, kept.result);
        return;
    }
    const isKeeperGone = (state.goneIncarnations.get(identity.owner.incarnation) ?? 0) > state.now
        || identity.owner.address === state.parts.identity.address;
    if (isKeeperGone || state.collections.has(submission)) {
        collect(state, { submission, identity, job, callers: [caller] }, "its keeper is gone");
        return;
    }
    const earlier = state.forwards.get(submission);
    if (job !== undefined && earlier?.job !== undefined && digestJson(job) !== digestJson(earlier.job)) {
        const problem = state.refuse(createMismatch());
        respond(state, { kind: "caller", request: caller.request }, submission, { kind: "problem", problem });
        return;
    }
    const row: ForwardRow = {
        submission,
        identity,
        startedAtMilliseconds: earlier?.startedAtMilliseconds ?? state.now,
        accepted: earlier?.accepted ?? false,
        job: job ?? earlier?.job,
        callers: [...earlier?.callers ?? [], caller],
        awaitingSinceMilliseconds: earlier?.awaitingSinceMilliseconds ?? state.now,
    };
    state.forwards.set(submission, row);
    ask(state, row, caller.operation);
    if (earlier === undefined) {
        state.wakeAt(state.now + checkMilliseconds, "forward", submission);
    }
    state.decide("forwarded", "another entry keeps the submission", { submission, peer: identity.owner.address });
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
    const awaiting = row.awaitingSinceMilliseconds;
    if (awaiting !== undefined && state.now - awaiting >= goneMilliseconds) {
        state.goneIncarnations.set(row.identity.owner.incarnation, state.now + silenceRememberedMilliseconds);
        takeOver(state, row, "its keeper does not answer");
        return;
    }
    const operation = row.accepted ? "query" : row.callers.at(-1)?.operation ?? "query";
    state.forwards.set(submission, { ...row, awaitingSinceMilliseconds: awaiting ?? state.now });
    ask(state, row, operation);
    const nextCheck = row.accepted ? acceptedCheckMilliseconds : checkMilliseconds;
    state.wakeAt(state.now + nextCheck, "forward", submission);
}

/**
 * Collects in place of a keeper that says it is another incarnation, or that cannot be reached.
 *
 * @param state - the entry's state
 * @param submission - the submission
 * @param reason - why the keeper counts as gone
 */
export function refuseForward(state: EntryState, submission: SubmissionKey, reason: string): void {
    const row = state.forwards.get(submission);
    if (row !== undefined) {
        const window = state.parts.settings.resubmissionWindowMilliseconds;
        state.goneIncarnations.set(row.identity.owner.incarnation, state.now + 2 * window);
        takeOver(state, row, reason);
    }
}

/**
 * Notes that the keeper has the job.
 *
 * @param state - the entry's state
 * @param submission - the submission
 */
export function acceptForward(state: EntryState, submission: SubmissionKey): void {
    state.forwards.update(submission, { accepted: true, awaitingSinceMilliseconds: undefined });
}

/**
 * Gives callers the result that the keeper sent.
 *
 * @param state - the entry's state
 * @param message - the result
 */
export function acceptForwardResult(state: EntryState, message: ForwardResult): void {
    const row = state.forwards.get(message.submission);
    if (row === undefined) {
        return;
    }
    const isOpen = message.result.kind === "progress";
    const served = row.callers.filter(caller => !isOpen || caller.operation === "query");
    for (const caller of served) {
        respond(state, { kind: "caller", request: caller.request }, row.submission, message.result);
    }
    const callers = row.callers.filter(caller => !served.includes(caller));
    if (callers.length === 0) {
        state.forwards.delete(row.submission);
        return;
    }
    // A keeper that knows nothing of the job lost the submit on its way, or had not received it yet.
    const accepted = message.result.kind === "progress" && message.result.progress.state !== "issued";
    state.forwards.set(row.submission, { ...row, callers, accepted, awaitingSinceMilliseconds: undefined });
}

/**
 * Answers a request that another entry passed on.
 *
 * @param state - the entry's state
 * @param sender - the other entry
 * @param message - the request
 */
export function serveForward(state: EntryState, sender: PeerIdentity, message: ForwardRequest): void {
    const submission = message.submission;
    const identity = state.parts.codec.decode(submission);
    if (message.keeper !== state.parts.identity.incarnation || identity.err) {
        state.send(sender.address, { type: "forwardRefused", submission });
        return;
    }
    const request = message.request;
    const requester = { kind: "entry" as const, address: sender.address, operation: request.operation };
    if (request.operation === "submit") {
        submitKept(state, { requester, submission, identity: identity.val, job: request.job, isClaimed: false });
        return;
    }
    if (request.operation === "cancel") {
        cancelKept(state, requester, submission);
        return;
    }
    queryKept(state, requester, submission);
}

function takeOver(state: EntryState, row: ForwardRow, reason: string): void {
    state.forwards.delete(row.submission);
    collect(state, row, reason);
}

function ask(state: EntryState, row: ForwardRow, operation: ForwardedCaller["operation"]): void {
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
