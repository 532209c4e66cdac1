/**
 * The ledger: records of accepted tasks and their outcomes, grouped by submission and owner.
 */
import type { Incarnation, PeerIdentity, SubmissionIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { JsonValue } from "@lovagepitch/types/job";
import type { TaskReport, TaskReportState } from "@lovagepitch/types/peerMessage";
import { type TaskEvent, taskLifecycle, type TaskState } from "../lifecycles/taskLifecycle.js";
import { type AgentTables, createTaskKey, raiseOwnerSequence } from "./agentTables.js";
import { estimateJsonBytes } from "./estimateJsonBytes.js";
import type { SubmissionRow, TaskRow } from "./rows.js";
import { SubmissionQueue } from "./submissionQueue.js";

const submissionOverheadBytes = 600;
const taskOverheadBytes = 300;
/** Most entries per submission that receive the outcomes of tasks that were running when the submission was sealed. */
const maximumSealingEntries = 8;

/**
 * Tells whether a submission may have been evicted from the ledger; its tasks are then reported as `forgotten`.
 *
 * @param tables - tables that hold the low-water marks
 * @param identity - decoded id of the submission
 * @returns true when the submission's sequence is at or below the low-water mark of its owner
 */
export function isForgotten(tables: AgentTables, identity: SubmissionIdentity): boolean {
    return identity.sequence <= (tables.lowWaterMarks.get(identity.owner.incarnation) ?? 0);
}

/**
 * Finds the ledger row of a submission, or creates it.
 *
 * @param tables - tables that hold the ledger
 * @param submission - id of the submission
 * @param identity - decoded id of the submission; its sequence must be above the low-water mark of its owner
 * @param now - current time, in milliseconds since the epoch
 * @returns the existing or created row
 */
export function getOrCreateSubmission(
    tables: AgentTables,
    submission: SubmissionKey,
    identity: SubmissionIdentity,
    now: number,
): SubmissionRow {
    const existing = tables.submissions.get(submission);
    if (existing !== undefined) {
        return existing;
    }
    const row: SubmissionRow = {
        submission,
        owner: identity.owner,
        sequence: identity.sequence,
        isSealed: false,
        sealedBy: [],
        indexes: [],
        unfinishedTasks: 0,
        updatedAtMilliseconds: now,
        bytes: submissionOverheadBytes,
    };
    tables.submissions.set(submission, row);
    tables.ledgerBytes += submissionOverheadBytes;
    getOrCreateQueue(tables, row.owner).insert(row.sequence, submission);
    return row;
}

function getOrCreateQueue(tables: AgentTables, owner: PeerIdentity): SubmissionQueue {
    const existing = tables.submissionsByOwner.get(owner.incarnation);
    if (existing !== undefined) {
        return existing;
    }
    const queue = new SubmissionQueue();
    tables.submissionsByOwner.set(owner.incarnation, queue);
    return queue;
}

/** Fields of a task that an event sets. */
export type TaskChanges = Partial<Pick<TaskRow, "refusal" | "startSequence" | "isClosed" | "output" | "reason">>;

/**
 * Applies an event to a task and updates the totals of the ledger and of the submission.
 *
 * @param tables - tables that hold the ledger; the submission must have a row
 * @param submission - id of the submission
 * @param index - index of the task in the submission
 * @param event - event that determines the task's next state
 * @param changes - fields that the event sets; a refusal, output or reason that is not given is removed
 * @param now - current time, in milliseconds since the epoch
 * @returns the updated row of the task
 */
export function applyTaskEvent(
    tables: AgentTables,
    submission: SubmissionKey,
    index: number,
    event: TaskEvent,
    changes: TaskChanges,
    now: number,
): TaskRow {
    const key = createTaskKey(submission, index);
    const previous = tables.tasks.get(key);
    const state = taskLifecycle.next(previous?.state ?? "received", event);
    const bytes = taskOverheadBytes + (changes.output === undefined ? 0 : estimateJsonBytes(changes.output));
    const row: TaskRow = {
        submission,
        index,
        isClosed: previous?.isClosed ?? false,
        ...changes,
        state,
        bytes,
    };
    tables.tasks.set(key, row);
    tables.runningTasks += (state === "running" ? 1 : 0) - (previous?.state === "running" ? 1 : 0);
    const unfinishedChange = (isUnfinished(state) ? 1 : 0) - (isUnfinished(previous?.state) ? 1 : 0);
    const addedBytes = bytes - (previous?.bytes ?? 0);
    tables.ledgerBytes += addedBytes;
    const submissionRow = tables.submissions.get(submission);
    if (submissionRow !== undefined) {
        tables.submissions.update(submission, {
            indexes: previous === undefined ? [...submissionRow.indexes, index] : submissionRow.indexes,
            unfinishedTasks: submissionRow.unfinishedTasks + unfinishedChange,
            updatedAtMilliseconds: now,
            bytes: submissionRow.bytes + addedBytes,
        });
    }
    return row;
}

function isUnfinished(state: TaskState | undefined): boolean {
    return state === "standing-by" || state === "running";
}

/**
 * Seals a submission and records the entry that requested it.
 *
 * @param tables - tables that hold the ledger; without a row for the submission nothing changes
 * @param submission - id of the submission
 * @param sealingEntry - address of the entry that requested the seal
 * @param now - current time, in milliseconds since the epoch
 */
export function sealSubmission(
    tables: AgentTables,
    submission: SubmissionKey,
    sealingEntry: string,
    now: number,
): void {
    const row = tables.submissions.get(submission);
    if (row === undefined) {
        return;
    }
    const otherEntries = row.sealedBy.filter(address => address !== sealingEntry).slice(-(maximumSealingEntries - 1));
    tables.submissions.set(submission, {
        ...row,
        isSealed: true,
        sealedBy: [...otherEntries, sealingEntry],
        updatedAtMilliseconds: now,
    });
}

/**
 * Evicts the submission with the lowest sequence of an owner from the ledger and raises the owner's low-water mark.
 *
 * @param tables - tables that hold the ledger
 * @param owner - incarnation of the entry that owns the submissions
 */
export function evictOldestSubmission(tables: AgentTables, owner: Incarnation): void {
    const queue = tables.submissionsByOwner.get(owner);
    const submission = queue?.peekFirst();
    const row = submission === undefined ? undefined : tables.submissions.get(submission);
    if (queue === undefined || row === undefined) {
        return;
    }
    for (const index of row.indexes) {
        tables.tasks.delete(createTaskKey(row.submission, index));
    }
    tables.submissions.delete(row.submission);
    tables.ledgerBytes -= row.bytes;
    queue.removeFirst();
    if (queue.size === 0) {
        tables.submissionsByOwner.delete(owner);
    }
    raiseOwnerSequence(tables.lowWaterMarks, owner, row.sequence);
}

/**
 * Creates the report of a task for entries.
 *
 * @param row - row of the task in the ledger
 * @returns the task's index and state, with its output, failure reason or refusal
 */
export function createTaskReport(row: TaskRow): TaskReport {
    return { index: row.index, report: createTaskReportState(row) };
}

function createTaskReportState(row: TaskRow): TaskReportState {
    switch (row.state) {
        case "received":
            return { state: "unknown" };
        case "standing-by":
        case "running":
            return { state: row.state };
        case "succeeded":
            return { state: "succeeded", output: row.output as JsonValue };
        case "failed":
            return { state: "failed", reason: row.reason ?? "failed" };
        case "refused":
            return { state: "refused", refusal: row.refusal ?? "busy", startSequence: row.startSequence ?? 0 };
    }
}

/**
 * Creates the reports of those tasks of a submission that were dispatched to the backend server.
 *
 * @param tables - tables that hold the ledger
 * @param submission - id of the submission
 * @returns the reports of running, succeeded and failed tasks, in the order of their indexes
 */
export function createStartedTaskReports(tables: AgentTables, submission: SubmissionKey): readonly TaskReport[] {
    const indexes = tables.submissions.get(submission)?.indexes ?? [];
    return [...indexes]
        .sort((left, right) => left - right)
        .map(index => tables.tasks.get(createTaskKey(submission, index)))
        .filter(row => row !== undefined)
        .filter(row => row.state === "running" || row.state === "succeeded" || row.state === "failed")
        .map(createTaskReport);
}
