/**
 * Starts: a task is taken, or answered from the ledger, or refused.
 */
import type { PeerAddress, SubmissionIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { StartedTask, StartTasks, TaskRefusal, TaskReportState } from "@lovagepitch/types/peerMessage";
import { taskKey } from "../entities/agentTables.js";
import { describeTask, isForgotten, moveTask, openSubmission } from "../entities/ledger.js";
import type { TaskRow } from "../entities/rows.js";
import { countRoom } from "./agentLoad.js";
import { hasLedgerRoom } from "./evictLedger.js";
import { isPermitted, judgeStart } from "./judgeStart.js";
import { refuseTask } from "./refuseTask.js";
import type { TickContext } from "./tickContext.js";

/** Longest time that a start waits for the configuration version that its sender has, in milliseconds. */
const longestHoldMilliseconds = 1_000;

/** Where a message came from. */
export interface MessageOrigin {
    readonly sender: PeerAddress;
    /** Configuration version in force at the sender. */
    readonly configurationVersion: number;
}

/** A start whose keeper numbers its starts of each task, so that a late copy is told from a new start. */
export type NumberedStart = StartTasks & { readonly attempt?: number };

interface StartRequest {
    readonly origin: MessageOrigin;
    readonly identity: SubmissionIdentity;
    readonly message: NumberedStart;
}

/**
 * Handles a start.
 *
 * @param context - the tick
 * @param origin - where the message came from
 * @param message - the start
 */
export function receiveStarts(context: TickContext, origin: MessageOrigin, message: NumberedStart): void {
    const decoded = context.parts.codec.decode(message.submission);
    if (decoded.err) {
        refuseUnrecorded(context, origin, message);
        return;
    }
    const request = { origin, identity: decoded.val, message };
    for (const task of message.tasks) {
        receiveStart(context, request, task);
    }
}

function refuseUnrecorded(context: TickContext, origin: MessageOrigin, message: NumberedStart): void {
    for (const task of message.tasks) {
        reply(context, origin, message.submission, task.index, { state: "refused", refusal: "not-eligible" });
    }
    context.decide("declined", "the submission id is not authentic", { peer: origin.sender });
}

function receiveStart(context: TickContext, request: StartRequest, task: StartedTask): void {
    const { origin, identity, message } = request;
    if (isForgotten(context.tables, identity)) {
        reply(context, origin, message.submission, task.index, { state: "forgotten" });
        return;
    }
    const known = context.tables.tasks.get(taskKey(message.submission, task.index));
    if (known !== undefined && !isNewStart(known, message)) {
        context.report(origin.sender, message.submission, describeTask(known));
        return;
    }
    // Without room for its record the start stays unanswered, and its sender repeats it.
    if (!hasLedgerRoom(context)) {
        context.decide("declined", "the ledger is full", { submission: message.submission, task: task.index });
        return;
    }
    openSubmission(context.tables, message.submission, identity, context.now);
    const refusal = findRefusal(context, request);
    if (refusal === undefined) {
        standBy(context, request, task);
        return;
    }
    const row = refuseTask(context, message.submission, task.index, refusal, message.attempt);
    context.report(origin.sender, message.submission, describeTask(row));
}

function isNewStart(known: TaskRow, message: NumberedStart): boolean {
    if (known.state !== "refused" || known.closed) {
        return false;
    }
    return message.attempt === undefined || message.attempt > known.attempt;
}

function findRefusal(context: TickContext, request: StartRequest): TaskRefusal | undefined {
    const { origin, identity, message } = request;
    if (context.tables.submissions.get(message.submission)?.sealed === true) {
        return "sealed";
    }
    const refusal = judgeStart(context, identity, message);
    if (refusal !== undefined) {
        return refusal;
    }
    const ownVersion = context.tables.configurationVersion;
    if (ownVersion === 0 && origin.configurationVersion === 0) {
        return "configuration-behind";
    }
    const isCurrent = origin.configurationVersion <= ownVersion;
    if (isCurrent && !isPermitted(context, message.service, message.kind)) {
        return "not-permitted";
    }
    return countRoom(context, origin.sender) > 0 ? undefined : "busy";
}

function standBy(context: TickContext, request: StartRequest, task: StartedTask): void {
    const { origin, message } = request;
    const { submission, team, service, kind, deadlineAtMilliseconds } = message;
    const fields = message.attempt === undefined ? {} : { attempt: message.attempt };
    moveTask(context.tables, submission, task.index, "standBy", fields, context.now);
    context.tables.standingBy.set(taskKey(submission, task.index), {
        submission,
        index: task.index,
        sender: origin.sender,
        team,
        service,
        kind,
        payload: task.payload,
        deadlineAtMilliseconds,
        requiredVersion: origin.configurationVersion,
        heldUntilMilliseconds: context.now + longestHoldMilliseconds,
        reported: false,
    });
}

function reply(
    context: TickContext,
    origin: MessageOrigin,
    submission: SubmissionKey,
    index: number,
    report: TaskReportState,
): void {
    context.report(origin.sender, submission, { index, report });
}
