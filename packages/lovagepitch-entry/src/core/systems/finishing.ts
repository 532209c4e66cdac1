/**
 * Finishes submissions: sends the final result to every requester and retains it for resubmissions.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobAnswer, TaskAnswer, TaskExecution } from "@lovagepitch/types/job";
import type { SubmissionResult } from "@lovagepitch/types/peerMessage";
import type { Problem } from "@lovagepitch/types/problem";
import type { EntryState } from "../entryState.js";
import type { LiveSubmission } from "../tables/submissionRow.js";
import { taskLifecycle } from "../tables/taskLifecycle.js";
import type { TaskReference, TaskRow } from "../tables/taskRow.js";
import { recallTasks } from "./recalling.js";
import { respond } from "./respond.js";

/** Estimated size of a finished submission without outputs; counts towards `maximumAnswerBytes`. */
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
 * Finishes a live submission with a complete answer.
 *
 * @param state - entry state, updated in place
 * @param live - submission whose tasks have all succeeded
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
 * Fails a live submission immediately and recalls its tasks that have not started.
 *
 * @param state - entry state, updated in place
 * @param live - submission to fail
 * @param reason - why it failed, as the caller reads it in the answer
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
 * Refuses a live submission of which no task was sent to an agent.
 *
 * @param state - entry state, updated in place
 * @param live - submission to refuse; its `hasStartedTasks` is false
 * @param problem - refusal, which says that nothing has run
 */
export function refuseSubmission(state: EntryState, live: LiveSubmission, problem: Problem): void {
    finishSubmission(state, live, { kind: "problem", problem: state.recordRefusal(problem) }, problem.detail);
}

/**
 * Retains a final result for resubmissions.
 *
 * @param state - entry state, updated in place
 * @param submission - id of the finished submission
 * @param jobDigest - digest of its job; empty when this entry never received the job
 * @param result - final result of the submission
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
 * Removes a retained result at the end of its retention time.
 *
 * @param state - entry state, updated in place
 * @param submission - id of the finished submission
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
    const location = row.worker === undefined ? {} : { worker: row.worker, availabilityZone: row.availabilityZone };
    return { index, state: executionByTaskState[row.state], ...(row.state === "waiting" ? {} : location) };
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
    let waitingTasks = 0;
    rows.forEach((row, index) => {
        if (row.state === "waiting") {
            waitingTasks += 1;
        }
        else if (row.agent !== undefined && isHeldByAgent(row)) {
            state.adjustStartedTasks(live.job.team, -1);
            state.outstandingTasks.get(row.agent)?.delete(`${live.submission} ${index}`);
            decrementUnacknowledgedTasks(state, row);
        }
    });
    state.adjustWaitingTasks(live.job.team, -waitingTasks);
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
 * Tells whether an agent holds a task.
 *
 * @param row - row of the task
 * @returns true from the sending of the start until the outcome is known
 */
export function isHeldByAgent(row: TaskRow): boolean {
    return row.state === "sent" || row.state === "standing-by" || row.state === "running";
}

/** Drops the oldest outputs above `maximumAnswerBytes`; a resubmission then learns that its job may have run. */
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
 * Marks a task as lost when its outcome cannot be determined, and fails its job.
 *
 * @param state - entry state, updated in place
 * @param reference - submission and index of the task
 * @param reason - why the outcome is unknown, as the caller reads it in the answer
 */
export function markTaskLost(state: EntryState, reference: TaskReference, reason: string): void {
    const live = state.submissions.get(reference.submission);
    const rows = state.tasks.get(reference.submission);
    const row = rows?.[reference.index];
    if (live?.state !== "live" || rows === undefined || row === undefined || !isHeldByAgent(row)) {
        return;
    }
    rows[reference.index] = { ...row, state: taskLifecycle.next(row.state, "lose") };
    state.adjustStartedTasks(live.job.team, -1);
    failSubmission(state, live, reason);
}
