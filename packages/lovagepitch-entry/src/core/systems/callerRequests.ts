/**
 * Handles requests for submissions that this entry owns, from callers and from entries that forward them.
 */
import type { SubmissionIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { SubmissionResult } from "@lovagepitch/types/peerMessage";
import type { Problem } from "@lovagepitch/types/problem";
import { digestJson } from "@lovagepitch/utils/digest";
import { Err } from "@lovagepitch/utils/result";
import type { RequestId } from "../entryInput.js";
import type { EntryState } from "../entryState.js";
import type { LiveSubmission, Requester, SubmissionRow } from "../tables/submissionRow.js";
import { newTask } from "../tables/taskRow.js";
import type { WorkClass } from "../tables/workClass.js";
import { admit } from "./admission.js";
import { failSubmission, retainResult } from "./finishing.js";
import { respond } from "./respond.js";

/** Retry-After while this entry is stopping. */
const stoppingRetryMilliseconds = 1_000;

/** A job that is submitted under a submission id of this entry. */
export interface SubmitRequest {
    readonly requester: Requester;
    readonly submission: SubmissionKey;
    readonly identity: SubmissionIdentity;
    readonly job: JobRequest;
    /** True when the caller's key was bound to the submission, so the request preceded any graceful shutdown. */
    readonly isClaimed: boolean;
}

/**
 * Issues submission ids to a caller.
 *
 * @param state - entry state, updated in place
 * @param request - id of the caller's request
 * @param count - number of ids to issue
 */
export function issueSubmissionIds(state: EntryState, request: RequestId, count: number): void {
    const submissions = Array.from({ length: count }, () => state.issueSubmissionId());
    state.emit({ type: "respond", request, response: { kind: "issued", submissions } });
}

/**
 * Submits or resubmits a job under a submission id of this entry.
 *
 * @param state - entry state, updated in place
 * @param request - the job, its submission id and the requester of the result
 */
export function submitJob(state: EntryState, request: SubmitRequest): void {
    const { requester, submission, identity, job } = request;
    const jobDigest = digestJson(job);
    const row = state.submissions.get(submission);
    if (row !== undefined) {
        handleResubmission(state, requester, row, jobDigest);
        return;
    }
    if (identity.expiresAtMilliseconds <= state.now) {
        respond(state, requester, submission, {
            kind: "problem",
            problem: state.recordRefusal(createExpiredProblem()),
        });
        return;
    }
    const isRefusedByStop = state.isStopping && !request.isClaimed;
    const admitted = isRefusedByStop
        ? Err(state.recordRefusal(createStoppingProblem("not-run")))
        : admit(state, job, identity);
    if (admitted.err) {
        const problem = admitted.val;
        const result: SubmissionResult = { kind: "problem", problem };
        // The requester learns that the job has not run, so its submission id must never start anything later.
        retainResult(state, submission, jobDigest, result);
        state.logDecision("refused", problem.detail, { submission });
        respond(state, requester, submission, result);
        return;
    }
    createLiveSubmission(state, request, jobDigest, admitted.val);
}

/**
 * Sends the progress or the final result of a submission of this entry.
 *
 * @param state - entry state, updated in place
 * @param requester - receiver of the response
 * @param submission - id of the queried submission
 */
export function querySubmission(state: EntryState, requester: Requester, submission: SubmissionKey): void {
    const row = state.submissions.get(submission);
    if (row?.state === "finished") {
        respond(state, requester, submission, row.result);
        return;
    }
    const rows = state.tasks.get(submission) ?? [];
    const hasStartedTasks = rows.some(task => task.state !== "waiting");
    respond(state, requester, submission, {
        kind: "progress",
        progress: {
            submission,
            state: row === undefined ? "issued" : (hasStartedTasks ? "running" : "waiting"),
            finishedTasks: row?.succeededTasks ?? 0,
            tasks: rows.length,
        },
    });
}

/**
 * Cancels a submission of this entry: tasks that have not started never start.
 *
 * @param state - entry state, updated in place
 * @param requester - receiver of the final answer
 * @param submission - id of the submission to cancel
 */
export function cancelSubmission(state: EntryState, requester: Requester, submission: SubmissionKey): void {
    const row = state.submissions.get(submission);
    if (row?.state === "finished") {
        respond(state, requester, submission, row.result);
        return;
    }
    state.logDecision("cancelled", "the caller requested it", { submission });
    if (row === undefined) {
        const result: SubmissionResult = { kind: "problem", problem: createCancelledBeforeUseProblem() };
        retainResult(state, submission, "", result);
        respond(state, requester, submission, result);
        return;
    }
    const withRequester = { ...row, requesters: [...row.requesters, requester] };
    failSubmission(state, withRequester, "cancelled by the caller");
}

/**
 * Removes a caller that closed its connection; its job continues.
 *
 * @param state - entry state, updated in place
 * @param request - id of the caller's request
 */
export function removeCaller(state: EntryState, request: RequestId): void {
    const submission = state.submissionsByRequest.get(request);
    state.submissionsByRequest.delete(request);
    const row = submission === undefined ? undefined : state.submissions.get(submission);
    if (row?.state === "live") {
        const requesters = row.requesters.filter(one => one.kind !== "caller" || one.request !== request);
        state.submissions.set(row.submission, { ...row, requesters });
    }
}

function handleResubmission(state: EntryState, requester: Requester, row: SubmissionRow, jobDigest: string): void {
    if (row.jobDigest !== "" && row.jobDigest !== jobDigest) {
        respond(state, requester, row.submission, {
            kind: "problem",
            problem: state.recordRefusal(createMismatchProblem()),
        });
        return;
    }
    if (row.state === "finished") {
        respond(state, requester, row.submission, row.result);
        return;
    }
    addRequester(state, row, requester);
}

function addRequester(state: EntryState, row: LiveSubmission, requester: Requester): void {
    const isKnownEntry = requester.kind === "entry"
        && row.requesters.some(one => one.kind === "entry" && one.address === requester.address);
    if (!isKnownEntry) {
        state.submissions.set(row.submission, { ...row, requesters: [...row.requesters, requester] });
    }
    if (requester.kind === "entry") {
        state.send(requester.address, { type: "forwardAccepted", submission: row.submission });
    }
}

function createLiveSubmission(
    state: EntryState,
    request: SubmitRequest,
    jobDigest: string,
    workClass: WorkClass,
): void {
    const { requester, submission, identity, job } = request;
    const now = state.now;
    const expectedWorkMilliseconds = job.tasks.reduce(
        (sum, task) => sum + workClass.runTime.estimateMeanMilliseconds(task.expectedMilliseconds),
        0,
    );
    const live: LiveSubmission = {
        state: "live",
        submission,
        identity,
        job,
        jobDigest,
        workClass: workClass.key,
        arrivedAtMilliseconds: now,
        deadlineAtMilliseconds: now + job.deadlineMilliseconds,
        configurationVersion: state.configurationVersion,
        succeededTasks: 0,
        expectedTaskMilliseconds: expectedWorkMilliseconds / job.tasks.length,
        hasStartedTasks: false,
        requesters: [],
    };
    state.submissions.set(submission, live);
    state.tasks.set(submission, job.tasks.map(() => newTask));
    state.adjustWaitingTasks(job.team, job.tasks.length);
    const indexes = job.tasks.map((_task, index) => index);
    workClass.queue.add({ ...live, team: job.team }, indexes);
    state.scheduleTimer(live.deadlineAtMilliseconds, "deadline", submission);
    state.logDecision("admitted", `${job.tasks.length} tasks`, { submission });
    addRequester(state, live, requester);
}

/**
 * Creates the problem for an expired submission id, whose records may have been removed everywhere.
 *
 * @returns problem with execution "may-have-run"
 */
export function createExpiredProblem(): Problem {
    return {
        kind: "expired-submission",
        status: 410,
        detail: "The submission id has expired; what was done under it is no longer known.",
        remedy: "If nothing was ever sent under it, send the job under the id in nextSubmission.",
        execution: "may-have-run",
    };
}

/**
 * Creates the problem for a request that arrives during a graceful shutdown.
 *
 * @param execution - whether the job has run, as far as this entry can tell
 * @returns problem that refers the caller to another entry
 */
export function createStoppingProblem(execution: Problem["execution"]): Problem {
    return {
        kind: "stopping",
        status: 503,
        detail: "This entry is stopping.",
        remedy: "Send the same request again; the balancer picks another entry.",
        execution,
        retryAfterMilliseconds: stoppingRetryMilliseconds,
    };
}

/**
 * Creates the problem for a job under the submission id of another job; it does not disclose the other job's state.
 *
 * @returns problem with execution "unknown-yet"
 */
export function createMismatchProblem(): Problem {
    return {
        kind: "submission-mismatch",
        status: 422,
        detail: "Another job was submitted under this id.",
        remedy: "Send each job under an id of its own.",
        execution: "unknown-yet",
    };
}

function createCancelledBeforeUseProblem(): Problem {
    return {
        kind: "unknown-submission",
        status: 410,
        detail: "The submission was cancelled before a job was sent under it.",
        remedy: "Send the job under the id in nextSubmission.",
        execution: "not-run",
    };
}
