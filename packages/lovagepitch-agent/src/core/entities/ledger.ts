/**
 * The ledger: every task that was received, with its outcome, by submission and keeper.
 */
import type { Incarnation, PeerIdentity, SubmissionIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { JsonValue } from "@lovagepitch/types/job";
import type { TaskReport, TaskReportState } from "@lovagepitch/types/peerMessage";
import { type TaskEvent, taskLifecycle, type TaskState } from "../lifecycles/taskLifecycle.js";
import { type AgentTables, createTaskKey, raiseKeeperSequence } from "./agentTables.js";
import { estimateJsonBytes } from "./estimateJsonBytes.js";
import type { SubmissionRow, TaskRow } from "./rows.js";
import { SubmissionQueue } from "./submissionQueue.js";

const submissionOverheadBytes = 600;
const taskOverheadBytes = 300;
/** Most entries that are told what still runs when they sealed a submission. */
const maximumSealingEntries = 8;

/**
 * Tells whether the records of a submission may have left the ledger.
 *
 * @param tables - the agent's tables
 * @param identity - what the submission's id says
 * @returns true at or under the keeper's low-water mark
 */
export function isForgotten(tables: AgentTables, identity: SubmissionIdentity): boolean {
    return identity.sequence <= (tables.lowWaterMarks.get(identity.owner.incarnation) ?? 0);
}

/**
 * Finds a submission's records, or opens them.
 *
 * @param tables - the agent's tables
 * @param submission - the submission
 * @param identity - what its id says; above the low-water mark
 * @param now - the current instant, in milliseconds
 * @returns the records
 */
export function getOrCreateSubmission(
    tables: AgentTables,
    submission: SubmissionKey,
    identity: SubmissionIdentity,
    now: number,
): SubmissionRow {
    const known = tables.submissions.get(submission);
    if (known !== undefined) {
        return known;
    }
    const row: SubmissionRow = {
        submission,
        keeper: identity.owner,
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
    getOrCreateQueue(tables, row.keeper).insert(row.sequence, submission);
    return row;
}

function getOrCreateQueue(tables: AgentTables, keeper: PeerIdentity): SubmissionQueue {
    const known = tables.submissionsByKeeper.get(keeper.incarnation);
    if (known !== undefined) {
        return known;
    }
    const queue = new SubmissionQueue();
    tables.submissionsByKeeper.set(keeper.incarnation, queue);
    return queue;
}

/** Facts that come with a change of a task's state. */
export type TaskChanges = Partial<Pick<TaskRow, "refusal" | "startSequence" | "isClosed" | "output" | "reason">>;

/**
 * Moves a task to its next state and keeps the ledger's sums.
 *
 * @param tables - the agent's tables; the submission is open
 * @param submission - the submission
 * @param index - the task's index
 * @param event - what happened to the task
 * @param changes - facts that come with it
 * @param now - the current instant, in milliseconds
 * @returns the task's new row
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
 * Seals a submission and remembers who asked.
 *
 * @param tables - the agent's tables; the submission is open
 * @param submission - the submission
 * @param sealingEntry - entry that asked
 * @param now - the current instant, in milliseconds
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
    const others = row.sealedBy.filter(address => address !== sealingEntry).slice(-(maximumSealingEntries - 1));
    tables.submissions.set(submission, {
        ...row,
        isSealed: true,
        sealedBy: [...others, sealingEntry],
        updatedAtMilliseconds: now,
    });
}

/**
 * Removes a keeper's oldest submission from the ledger and raises the keeper's low-water mark.
 *
 * @param tables - the agent's tables
 * @param keeper - the keeper
 */
export function evictOldestSubmission(tables: AgentTables, keeper: Incarnation): void {
    const queue = tables.submissionsByKeeper.get(keeper);
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
        tables.submissionsByKeeper.delete(keeper);
    }
    raiseKeeperSequence(tables.lowWaterMarks, keeper, row.sequence);
}

/**
 * Describes a task as the ledger knows it.
 *
 * @param row - the task
 * @returns its report
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
 * Lists the tasks of a submission that were handed to the backend server.
 *
 * @param tables - the agent's tables
 * @param submission - the submission
 * @returns their reports, in the order of their indexes
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
