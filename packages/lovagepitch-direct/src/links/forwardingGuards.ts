/**
 * Type guards for messages between an entry that passes submissions on and the one that receives them.
 */
import type { DirectJob, JobAnswer, RefusalReason } from "../model/directJob.js";
import type {
    ForwardedAnswer,
    ForwardedCancellation,
    ForwardedSubmission,
    ForwardedWithdrawal,
    ForwardingFrame,
    ForwardingReply,
} from "../model/forwarding.js";
import type { EntryProcess } from "../model/jobOwnership.js";
import {
    isAddress,
    isArrayOf,
    isBoolean,
    isIntegerFrom,
    isNeeds,
    isNumber,
    isObject,
    isOptional,
    isString,
} from "./valueGuards.js";

/** Largest number of tasks of a job; callers submit no more. */
const maximumTasks = 1000;

/** Longest id of a job, in characters. */
const maximumIdLength = 4096;

/** Kinds of answers without further fields. */
const answerKinds: ReadonlySet<unknown> = new Set<JobAnswer["kind"]>([
    "done",
    "failed",
    "id-in-use",
    "cancelled",
]);

const refusalReasons: ReadonlySet<unknown> = new Set<RefusalReason>([
    "no-worker",
    "no-room-in-time",
    "over-share",
    "kind-confined",
    "queue-full",
    "memory-full",
    "shutting-down",
    "no-configuration",
]);

/**
 * Tells whether a value is a frame with submissions.
 *
 * @param value - decoded value
 * @returns true when every field has the type of the frame's field
 */
export function isForwardingFrame(value: unknown): value is ForwardingFrame {
    return isObject<ForwardingFrame>(value) && value.kind === "forwarding" && isEntryProcess(value.from)
        && isOptional(value.newestSentAt, isNumber) && isNumber(value.heldMilliseconds) && value.heldMilliseconds >= 0
        && isNumber(value.configurationVersion) && isArrayOf(value.submissions, isSubmission)
        && isArrayOf(value.withdrawals, isWithdrawal) && isArrayOf(value.cancellations, isCancellation);
}

/**
 * Tells whether a value is a reply to such frames.
 *
 * @param value - decoded value
 * @returns true when every field has the type of the reply's field
 */
export function isForwardingReply(value: unknown): value is ForwardingReply {
    return isObject<ForwardingReply>(value) && value.kind === "forwarding-reply" && isEntryProcess(value.from)
        && isNumber(value.sentAt) && isNumber(value.load) && isBoolean(value.acceptsSubmissions)
        && isNumber(value.configurationVersion) && isArrayOf(value.answers, isAnswer);
}

function isEntryProcess(value: unknown): boolean {
    return isObject<EntryProcess>(value) && isAddress(value.address) && isString(value.incarnation);
}

function isSubmission(value: unknown): boolean {
    return isObject<ForwardedSubmission>(value) && isIntegerFrom(0, value.number) && isNumber(value.ageMilliseconds)
        && value.ageMilliseconds >= 0 && isJob(value.job);
}

function isJob(value: unknown): boolean {
    return isObject<DirectJob>(value) && isId(value.id) && isString(value.route) && isString(value.service)
        && isNumber(value.priority) && isString(value.specification) && isIntegerFrom(1, value.taskCount)
        && value.taskCount <= maximumTasks && isNeeds(value.needs) && isNumber(value.estimatedMilliseconds)
        && isOptional(value.requiredLabel, isString) && isNumber(value.maximumPerWorker) && isNumber(value.stretch)
        && isNumber(value.allowanceMilliseconds) && isNumber(value.maximumAttempts)
        && isNumber(value.callerWaitMilliseconds);
}

function isId(value: unknown): boolean {
    return isString(value) && value.length <= maximumIdLength;
}

function isWithdrawal(value: unknown): boolean {
    return isObject<ForwardedWithdrawal>(value) && isIntegerFrom(0, value.number) && isId(value.job)
        && isBoolean(value.isInterrupted);
}

function isCancellation(value: unknown): boolean {
    return isObject<ForwardedCancellation>(value) && isId(value.job) && isString(value.route);
}

function isAnswer(value: unknown): boolean {
    return isObject<ForwardedAnswer>(value) && isIntegerFrom(0, value.number) && isId(value.job)
        && isOptional(value.answer, isJobAnswer);
}

function isJobAnswer(value: unknown): boolean {
    if (!isObject<{ readonly kind: unknown; readonly reason: unknown; readonly retryAfterSeconds: unknown }>(value)) {
        return false;
    }
    switch (value.kind) {
        case "refused":
            return refusalReasons.has(value.reason) && isNumber(value.retryAfterSeconds);
        case "interrupted":
            return isString(value.reason);
        default:
            return answerKinds.has(value.kind);
    }
}
