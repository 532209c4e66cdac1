/**
 * Ends a job: its callers are answered and its remaining runs are stopped.
 */
import type { JobAnswer } from "../model/directJob.js";
import { formatRunKey } from "../model/frames.js";
import { answerRequest } from "./answerRequest.js";
import { type EntryState, formatTaskKey, type JobRow, mayHaveStarted } from "./entryState.js";

/**
 * Answers all callers of a job and removes the job.
 *
 * @param state - state of the entry
 * @param row - row of the job
 * @param answer - answer for its callers
 * @param inputs - further values that the answer was based on, for the log
 */
export function endJob(
    state: EntryState,
    row: JobRow,
    answer: JobAnswer,
    inputs: Readonly<Record<string, number>> = {},
): void {
    const { job } = row;
    state.jobs.delete(job.id);
    for (let task = 0; task < job.taskCount; task += 1) {
        state.taskHistories.delete(formatTaskKey(job.id, task));
    }
    if (answer.kind === "done") {
        state.crashingKinds.recordDoneJob(job.service, job.route);
    }
    if (mayHaveStarted(row) || answer.kind === "interrupted") {
        state.orderedJobs.record(job.id, state.now);
    }
    stopJobRuns(state, job.id);
    const afterMilliseconds = Math.round(state.now - row.acceptedAt);
    for (const request of row.requests) {
        answerRequest(state, request, job.id, answer, afterMilliseconds);
    }
    const isExpected = answer.kind === "done" || answer.kind === "cancelled";
    state.log(isExpected ? "info" : "warn", "job answered", {
        job: job.id,
        submission: row.submission,
        route: job.route,
        answer: answer.kind,
        ...("reason" in answer ? { reason: answer.reason } : {}),
        afterMilliseconds,
        tasks: job.taskCount,
        succeededTasks: row.succeededTasks,
        waitingTasks: row.waitingTasks.length,
        openRuns: row.openRuns,
        failedOn: row.failedOn.length,
        latestStart: Math.round(row.deadlines.latestStart - row.acceptedAt),
        configurationVersion: state.configuration?.version,
        callers: row.requests.length,
        ...inputs,
    });
}

/** Stops every run of a job and tracks the runs until they have ended, in case the job is submitted again. */
function stopJobRuns(state: EntryState, job: string): void {
    const stopping = new Set(state.stoppingRuns.get(job));
    for (const placed of [...state.placedTasks.values()]) {
        if (placed.identity.job === job) {
            state.getPendingOrders(placed.agent).stops.push(placed.identity);
            stopping.add(formatRunKey(placed.identity));
        }
    }
    if (stopping.size > 0) {
        state.stoppingRuns.set(job, stopping);
    }
}
