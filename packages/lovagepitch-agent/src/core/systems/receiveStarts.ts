/**
 * Starts: a task is taken, or answered from the ledger, or refused.
 */
import type { PeerIdentity, SubmissionIdentity } from "@lovagepitch/types/identity";
import type { StartTasks, TaskRefusal, TaskToStart } from "@lovagepitch/types/peerMessage";
import { raiseForKeeper, taskKey } from "../entities/agentTables.js";
import { describeTask, isForgotten, moveTask, openSubmission } from "../entities/ledger.js";
import { countRoom } from "./agentLoad.js";
import { hasLedgerRoom } from "./evictLedger.js";
import { isPermitted, judgeStart } from "./judgeStart.js";
import { findStartSequence, refuseTask } from "./refuseTask.js";
import type { TickContext } from "./tickContext.js";

/** Longest time that a start waits for the configuration version that its sender has, in milliseconds. */
const longestHoldMilliseconds = 1_000;

/** Where a message came from. */
export interface MessageOrigin {
    readonly sender: PeerIdentity;
    /** Configuration version in force at the sender. */
    readonly configurationVersion: number;
}

interface StartRequest {
    readonly origin: MessageOrigin;
    readonly identity: SubmissionIdentity;
    readonly message: StartTasks;
    /** A start or recall of the same sender that is as high or higher came before. */
    readonly isLate: boolean;
}

/**
 * Handles a start.
 *
 * @param context - the tick
 * @param origin - where the message came from
 * @param message - the start
 */
export function receiveStarts(context: TickContext, origin: MessageOrigin, message: StartTasks): void {
    if (message.agent !== context.parts.identity.incarnation) {
        return;
    }
    const { sender } = origin;
    const isLate = message.startSequence <= findStartSequence(context, sender.incarnation);
    raiseForKeeper(context.tables.startSequences, sender.incarnation, message.startSequence);
    const decoded = context.parts.codec.decode(message.submission);
    const isKept = decoded.ok && decoded.val.owner.incarnation === sender.incarnation;
    if (!isKept) {
        for (const task of message.tasks) {
            reportRefusal(context, origin, message, task, "not-eligible");
        }
        return;
    }
    const request = { origin, identity: decoded.val, message, isLate };
    for (const task of message.tasks) {
        receiveStart(context, request, task);
    }
}

function receiveStart(context: TickContext, request: StartRequest, task: TaskToStart): void {
    const { origin, identity, message } = request;
    const { address } = origin.sender;
    if (isForgotten(context.tables, identity)) {
        context.report(address, message.submission, { index: task.index, report: { state: "forgotten" } });
        return;
    }
    const known = context.tables.tasks.get(taskKey(message.submission, task.index));
    if (known !== undefined && known.state !== "refused") {
        context.report(address, message.submission, describeTask(known));
        return;
    }
    const refusal = findRefusal(context, request, known?.closed === true);
    if (refusal !== undefined) {
        if (known !== undefined) {
            refuseTask(context, message.submission, task.index, refusal);
        }
        reportRefusal(context, origin, message, task, refusal);
        return;
    }
    standBy(context, request, task);
}

function findRefusal(context: TickContext, request: StartRequest, isClosed: boolean): TaskRefusal | undefined {
    const { origin, identity, message, isLate } = request;
    if (context.tables.submissions.get(message.submission)?.sealed === true) {
        return "sealed";
    }
    if (isLate) {
        return "out-of-order";
    }
    const refusal = isClosed ? "backend-unavailable" : judgeStart(context, identity, message);
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
    const hasRoom = countRoom(context, origin.sender.address) > 0 && hasLedgerRoom(context);
    // Making room may have raised the mark over this very submission.
    return hasRoom && !isForgotten(context.tables, identity) ? undefined : "busy";
}

function standBy(context: TickContext, request: StartRequest, task: TaskToStart): void {
    const { origin, identity, message } = request;
    const { submission, team, service, kind, deadlineAtMilliseconds } = message;
    openSubmission(context.tables, submission, identity, context.now);
    moveTask(context.tables, submission, task.index, "standBy", {}, context.now);
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

function reportRefusal(
    context: TickContext,
    origin: MessageOrigin,
    message: StartTasks,
    task: TaskToStart,
    refusal: TaskRefusal,
): void {
    const { address, incarnation } = origin.sender;
    context.report(address, message.submission, {
        index: task.index,
        report: { state: "refused", refusal, startSequence: findStartSequence(context, incarnation) },
    });
    context.decide("declined", refusal, { submission: message.submission, task: task.index, peer: address });
}
