/**
 * Handling of start messages: each task is queued, answered from the ledger, or refused.
 */
import type { PeerIdentity, SubmissionIdentity } from "@lovagepitch/types/identity";
import type { StartTasks, TaskRefusal, TaskToStart } from "@lovagepitch/types/peerMessage";
import { createTaskKey, raiseOwnerSequence } from "../entities/agentTables.js";
import { applyTaskEvent, createTaskReport, getOrCreateSubmission, isForgotten } from "../entities/ledger.js";
import { countAvailablePlaces } from "./agentLoad.js";
import { ensureLedgerCapacity } from "./evictSubmissions.js";
import { findStartSequence, refuseTask } from "./refuseTask.js";
import { findStartRefusal, isPermitted } from "./startChecks.js";
import type { TickContext } from "./tickContext.js";

/** Longest time that a start waits until the agent has the configuration version of the sender, in milliseconds. */
const maximumConfigurationWaitMilliseconds = 1_000;

/** Sender of a message and the configuration version in force there. */
export interface MessageOrigin {
    readonly sender: PeerIdentity;
    /** Configuration version in force at the sender. */
    readonly configurationVersion: number;
}

interface StartRequest {
    readonly origin: MessageOrigin;
    readonly identity: SubmissionIdentity;
    readonly message: StartTasks;
    /** True when a start or recall of the same sender with an equal or higher sequence was received before. */
    readonly isOutOfOrder: boolean;
}

/**
 * Handles a start message; a message for another incarnation of this agent is ignored.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param origin - sender of the message and its configuration version
 * @param message - submission, start sequence and tasks
 */
export function handleStarts(context: TickContext, origin: MessageOrigin, message: StartTasks): void {
    if (message.agent !== context.dependencies.identity.incarnation) {
        return;
    }
    const { sender } = origin;
    const isOutOfOrder = message.startSequence <= findStartSequence(context, sender.incarnation);
    raiseOwnerSequence(context.tables.startSequences, sender.incarnation, message.startSequence);
    const decoded = context.dependencies.codec.decode(message.submission);
    const isSentByOwner = decoded.ok && decoded.val.owner.incarnation === sender.incarnation;
    if (!isSentByOwner) {
        for (const task of message.tasks) {
            reportRefusal(context, origin, message, task, "not-eligible");
        }
        return;
    }
    const request = { origin, identity: decoded.val, message, isOutOfOrder };
    for (const task of message.tasks) {
        handleStart(context, request, task);
    }
}

function handleStart(context: TickContext, request: StartRequest, task: TaskToStart): void {
    const { origin, identity, message } = request;
    const { address } = origin.sender;
    if (isForgotten(context.tables, identity)) {
        context.addReport(address, message.submission, { index: task.index, report: { state: "forgotten" } });
        return;
    }
    const existing = context.tables.tasks.get(createTaskKey(message.submission, task.index));
    if (existing !== undefined && existing.state !== "refused") {
        context.addReport(address, message.submission, createTaskReport(existing));
        return;
    }
    const refusal = findRefusal(context, request, existing?.isClosed === true);
    if (refusal !== undefined) {
        if (existing !== undefined) {
            refuseTask(context, message.submission, task.index, refusal);
        }
        reportRefusal(context, origin, message, task, refusal);
        return;
    }
    queueTask(context, request, task);
}

function findRefusal(context: TickContext, request: StartRequest, isClosed: boolean): TaskRefusal | undefined {
    const { origin, identity, message, isOutOfOrder } = request;
    if (context.tables.submissions.get(message.submission)?.isSealed === true) {
        return "sealed";
    }
    if (isOutOfOrder) {
        return "out-of-order";
    }
    const refusal = isClosed ? "backend-unavailable" : findStartRefusal(context, identity, message);
    if (refusal !== undefined) {
        return refusal;
    }
    const agentVersion = context.tables.configurationVersion;
    if (agentVersion === 0 && origin.configurationVersion === 0) {
        return "configuration-behind";
    }
    const isUpToDate = origin.configurationVersion <= agentVersion;
    if (isUpToDate && !isPermitted(context, message.service, message.kind)) {
        return "not-permitted";
    }
    const hasCapacity = countAvailablePlaces(context, origin.sender.address) > 0 && ensureLedgerCapacity(context);
    // Evicting records may have raised the low-water mark above the sequence of this submission.
    return hasCapacity && !isForgotten(context.tables, identity) ? undefined : "busy";
}

function queueTask(context: TickContext, request: StartRequest, task: TaskToStart): void {
    const { origin, identity, message } = request;
    const { submission, team, service, kind, deadlineAtMilliseconds } = message;
    getOrCreateSubmission(context.tables, submission, identity, context.now);
    applyTaskEvent(context.tables, submission, task.index, "queue", {}, context.now);
    context.tables.queuedTasks.set(createTaskKey(submission, task.index), {
        submission,
        index: task.index,
        sender: origin.sender,
        team,
        service,
        kind,
        payload: task.payload,
        deadlineAtMilliseconds,
        requiredConfigurationVersion: origin.configurationVersion,
        configurationDeadlineAtMilliseconds: context.now + maximumConfigurationWaitMilliseconds,
        isReported: false,
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
    context.addReport(address, message.submission, {
        index: task.index,
        report: { state: "refused", refusal, startSequence: findStartSequence(context, incarnation) },
    });
    context.logDecision("declined", refusal, { submission: message.submission, task: task.index, peer: address });
}
