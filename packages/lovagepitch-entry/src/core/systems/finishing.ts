/**
 * Final answers: each is given once, to all who wait, and kept for resubmissions.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobAnswer, TaskAnswer, TaskExecution } from "@lovagepitch/types/job";
import type { SubmissionResult } from "@lovagepitch/types/peerMessage";
import type { EntryState } from "../entryState.js";
import type { LiveSubmission } from "../tables/submissionRow.js";
import { taskLifecycle } from "../tables/taskLifecycle.js";
import type { TaskReference, TaskRow } from "../tables/taskRow.js";
import { recallTasks } from "./recalling.js";
import { respond } from "./respond.js";

/** Memory that a row without outputs takes, for the bound on kept answers. */
const rowOverheadBytes = 512;

const executionByTaskState: Readonly<Record<TaskRow["state"], TaskExecution>> = {
    "waiting": "not-run",
    "sent": "may-have-run",
    "standing-by": "may-have-run",
    "running": "may-have-run",
    "succeeded": "succeeded",
    "failed": "failed",
    "lost": "may-have-run",
};

/**
 * Ends a live submission with its complete answer.
 *
 * @param state - the entry's state
 * @param live - the submission; all its tasks have succeeded
 */
export function completeSubmission(state: EntryState, live: LiveSubmission): void {
    const rows = state.tasks.get(live.submission) ?? [];
    const answer: JobAnswer = {
        submission: live.submission,
        state: "complete",
        configurationVersion: live.configurationVersion,
        tasks: rows.map((row, index) => ({ ...createTaskAnswer(row, index), output: row.output! })),
    };
    finishSubmission(state, live, { kind: "answer", answer }, "all tasks succeeded");
}

/**
 * Ends a live submission as failed, at once: nothing of it starts any more.
 *
 * @param state - the entry's state
 * @param live - the submission
 * @param reason - why it failed
 */
export function failSubmission(state: EntryState, live: LiveSubmission, reason: string): void {
    const rows = state.tasks.get(live.submission) ?? [];
    const answer: JobAnswer = {
        submission: live.submission,
        state: "failed",
        reason,
        configurationVersion: live.configurationVersion,
        tasks: rows.map(createTaskAnswer),
    };
    recallTasks(state, live);
    finishSubmission(state, live, { kind: "answer", answer }, reason);
}

/**
 * Keeps a final result for resubmissions.
 *
 * @param state - the entry's state
 * @param submission - the submission
 * @param jobDigest - digest of its job; empty when the job was never seen
 * @param result - the final result
 */
export function retainResult(
    state: EntryState,
    submission: SubmissionKey,
    jobDigest: string,
    result: SubmissionResult,
): void {
    const bytes = rowOverheadBytes + (result.kind === "answer" ? JSON.stringify(result.answer.tasks).length : 0);
    state.answerBytes += bytes;
    state.submissions.set(submission, { state: "finished", submission, jobDigest, result, bytes });
    if (result.kind === "answer") {
        state.submissionsWithOutputs.add(submission);
    }
    const retainedUntil = state.now + 2 * state.dependencies.settings.resubmissionWindowMilliseconds;
    state.scheduleTimer(retainedUntil, "retention", submission);
    evictOutputs(state);
}

/**
 * Drops a result whose time has passed.
 *
 * @param state - the entry's state
 * @param submission - the submission
 */
export function removeResult(state: EntryState, submission: SubmissionKey): void {
    const row = state.submissions.get(submission);
    if (row?.state === "finished") {
        state.answerBytes -= row.bytes;
        state.submissions.delete(submission);
        state.submissionsWithOutputs.delete(submission);
    }
}

function createTaskAnswer(row: TaskRow, index: number): TaskAnswer {
    const place = row.worker === undefined ? {} : { worker: row.worker, availabilityZone: row.availabilityZone };
    return { index, state: executionByTaskState[row.state], ...(row.state === "waiting" ? {} : place) };
}

function finishSubmission(state: EntryState, live: LiveSubmission, result: SubmissionResult, reason: string): void {
    removeTasks(state, live);
    retainResult(state, live.submission, live.jobDigest, result);
    state.logDecision("answered", reason, { submission: live.submission });
    for (const requester of live.requesters) {
        respond(state, requester, live.submission, result);
    }
}

function removeTasks(state: EntryState, live: LiveSubmission): void {
    const rows = state.tasks.get(live.submission) ?? [];
    let waiting = 0;
    rows.forEach((row, index) => {
        if (row.state === "waiting") {
            waiting += 1;
        }
        else if (row.agent !== undefined && isUnfinished(row)) {
            state.adjustStartedTasks(live.job.team, -1);
            state.outstandingTasks.get(row.agent)?.delete(`${live.submission} ${index}`);
            decrementUnacknowledgedTasks(state, row);
        }
    });
    state.adjustWaitingTasks(live.job.team, -waiting);
    state.workClasses.get(live.workClass)?.queue.remove(live.submission);
    state.tasks.delete(live.submission);
}

function decrementUnacknowledgedTasks(state: EntryState, row: TaskRow): void {
    const agent = state.agents.get(row.agent!);
    if (row.state === "sent" && agent?.incarnation === row.agentIncarnation && agent !== undefined) {
        state.agents.update(agent.address, { unacknowledgedTasks: Math.max(0, agent.unacknowledgedTasks - 1) });
    }
}

/**
 * Tells whether an agent still holds a task.
 *
 * @param row - the task
 * @returns true from its start being sent until its outcome
 */
export function isUnfinished(row: TaskRow): boolean {
    return row.state === "sent" || row.state === "standing-by" || row.state === "running";
}

/** Outputs are dropped, oldest first, before the memory for answers is exceeded; what ran is still told. */
function evictOutputs(state: EntryState): void {
    for (const submission of state.submissionsWithOutputs) {
        if (state.answerBytes <= state.dependencies.settings.maximumAnswerBytes) {
            return;
        }
        state.submissionsWithOutputs.delete(submission);
        const row = state.submissions.get(submission);
        if (row?.state === "finished") {
            state.answerBytes -= row.bytes - rowOverheadBytes;
            state.submissions.set(submission, { ...row, bytes: rowOverheadBytes, result: createDroppedAnswerResult() });
        }
    }
}

function createDroppedAnswerResult(): SubmissionResult {
    return {
        kind: "problem",
        problem: {
            kind: "outcome-unknown",
            status: 410,
            detail: "The job was answered, and its answer has been dropped since for lack of memory.",
            remedy: "Use the answer that was given; raise maximumAnswerBytes if callers resubmit this late.",
            execution: "may-have-run",
        },
    };
}

/**
 * Gives up a task whose fate cannot be learned; its job fails.
 *
 * @param state - the entry's state
 * @param reference - the task
 * @param reason - why
 */
export function markTaskLost(state: EntryState, reference: TaskReference, reason: string): void {
    const live = state.submissions.get(reference.submission);
    const rows = state.tasks.get(reference.submission);
    const row = rows?.[reference.index];
    if (live?.state !== "live" || rows === undefined || row === undefined || !isUnfinished(row)) {
        return;
    }
    rows[reference.index] = { ...row, state: taskLifecycle.next(row.state, "lose") };
    state.adjustStartedTasks(live.job.team, -1);
    failSubmission(state, live, reason);
}
