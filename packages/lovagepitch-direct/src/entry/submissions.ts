/**
 * Submissions, cancellations and disconnects of callers.
 */
import { type DirectJob, isSameJob, type RefusalReason } from "../model/directJob.js";
import { computeJobDeadlines, type JobDeadlines } from "../policies/jobDeadlines.js";
import { computeRetryAfterSeconds, maximumRetryAfterSeconds } from "../policies/retryAfter.js";
import { answerRequest } from "./answerRequest.js";
import { endJob } from "./endJob.js";
import { type EntryState, estimateWork, type JobRow, mayHaveStarted } from "./entryState.js";
import { holdAnnouncedJob } from "./heldJobs.js";
import { inquireOldJob } from "./jobInquiries.js";
import { judgeJob } from "./workerSeparation.js";

/** Largest number of open jobs of one entry; far more than a deployment's workers finish while a caller waits. */
const maximumOpenJobs = 4000;

/** What is known of a submission beside its job. */
export interface SubmissionDetails {
    /** Earliest instant at which it may have arrived, if that is known to be earlier than now. */
    readonly earliestArrival?: number | undefined;
    /** True when open requests hold as much memory as they may; the job is refused if it is new. */
    readonly isMemoryFull?: boolean | undefined;
    /** Instant from which the deadlines count, if the job has arrived at another entry before. */
    readonly deadlinesFrom?: number | undefined;
}

/**
 * Accepts a job, or attaches the request to the open job of the same id if it asks for the same work.
 *
 * @param state - state of the entry
 * @param request - id of the request
 * @param job - submitted job
 * @param details - what else is known of the submission
 */
export function receiveOwnJob(
    state: EntryState,
    request: number,
    job: DirectJob,
    { earliestArrival = state.now, isMemoryFull = false, deadlinesFrom = state.now }: SubmissionDetails = {},
): void {
    const submittedAt = Math.min(earliestArrival, state.readDelay.findEarliestArrival(state.now));
    const known = state.jobs.get(job.id);
    if (known !== undefined && !isSameJob(known.job, job)) {
        rejectOtherJob(state, request, job, known.job.route);
        return;
    }
    if (known !== undefined) {
        const latestSubmission = state.takeSubmissionNumber();
        const requests = [...known.requests, request];
        state.jobs.set(job.id, { ...known, latestSubmission, submittedAt, requests });
        state.log("info", "job submitted again", { job: job.id, callers: known.requests.length + 1 });
        return;
    }
    const submission = state.takeSubmissionNumber();
    const row: JobRow = {
        job,
        submission,
        latestSubmission: submission,
        submittedAt,
        requests: [request],
        acceptedAt: state.now,
        deadlines: computeDeadlines(state, job, deadlinesFrom),
        waitingTasks: Array.from({ length: job.taskCount }, (_, task) => task),
        openRuns: 0,
        hasEndedRun: false,
        succeededTasks: 0,
        failedOn: [],
    };
    state.jobs.set(job.id, row);
    state.priorityRanks.record(job.service, job.priority, state.now);
    state.crashingKinds.recordArrival(job.service, job.route, state.now);
    state.policies.queueShares.recordArrival(job.service, job.route, estimateWork(job, job.taskCount), state.now);
    state.isPlacementDue = true;
    if (submittedAt < (state.earlyCancellations.get(job.id) ?? Number.NEGATIVE_INFINITY)) {
        endJob(state, row, { kind: "cancelled" });
        return;
    }
    const isHeld = holdAnnouncedJob(state, row);
    inquireOldJob(state, row);
    if (!isHeld && judgeJob(state, job) === "crashing") {
        endJob(state, row, { kind: "failed" });
    }
    else if (state.isShuttingDown) {
        refuseJob(state, row, "shutting-down");
    }
    else if (state.jobs.size > maximumOpenJobs) {
        refuseJob(state, row, "queue-full");
    }
    else if (isMemoryFull) {
        refuseJob(state, row, "memory-full");
    }
}

/**
 * Rejects a job whose id is that of another open job.
 *
 * @param state - state of the entry
 * @param request - id of the request
 * @param job - submitted job
 * @param openRoute - route of the open job
 */
export function rejectOtherJob(state: EntryState, request: number, job: DirectJob, openRoute: string): void {
    answerRequest(state, request, job.id, { kind: "id-in-use" }, 0);
    state.log("warn", "job rejected because another one of its id is open", {
        job: job.id,
        route: job.route,
        openRoute,
    });
}

/**
 * Refuses a job of which no task has started under this submission. A job of which tasks may have started under an earlier
 * one is interrupted.
 *
 * @param state - state of the entry
 * @param row - row of the job
 * @param reason - reason that the caller receives
 * @param inputs - values that the decision was based on, for the log
 */
export function refuseJob(
    state: EntryState,
    row: JobRow,
    reason: RefusalReason,
    inputs: Readonly<Record<string, number>> = {},
): void {
    if (state.crashEvidence.hasLostRun(row.job.id)) {
        endJob(state, row, { kind: "interrupted", reason: "a run of the job was lost when its worker crashed" });
        return;
    }
    const { id } = row.job;
    if (state.orderedJobs.has(id, state.now) || state.heldJobs.has(id) || state.inquiries.has(id)) {
        // Not a refusal, which would say that the job has not run.
        endJob(state, row, { kind: "interrupted", reason: "tasks of an earlier submission may have started" }, inputs);
        return;
    }
    const { linkMilliseconds = 0 } = inputs;
    const drainRate = state.drainRate.read(state.now);
    const fraction = state.random.nextFraction();
    const retryAfterSeconds = Math.max(
        computeRetryAfterSeconds(measureWaitingWork(state), drainRate, fraction),
        Math.min(maximumRetryAfterSeconds, Math.ceil(linkMilliseconds / 1000)),
    );
    endJob(state, row, { kind: "refused", reason, retryAfterSeconds }, inputs);
}

/**
 * Handles the end of a caller's connection: a job without remaining callers is cancelled.
 *
 * @param state - state of the entry
 * @param request - id of the caller's request
 * @param id - id of the job
 */
export function receiveCallerDisconnected(state: EntryState, request: number, id: string): void {
    const row = state.jobs.get(id);
    if (row === undefined) {
        return;
    }
    const requests = row.requests.filter(other => other !== request);
    if (requests.length > 0) {
        state.jobs.set(id, { ...row, requests });
        return;
    }
    endJob(state, { ...row, requests }, { kind: "cancelled" });
}

/**
 * Cancels a job at a caller's request. While requests are read late, the submission of the job may be read after its cancellation.
 *
 * @param state - state of the entry
 * @param id - id of the job
 * @param route - name of the job's route
 */
export function receiveCancellation(state: EntryState, id: string, route: string): void {
    const row = state.jobs.get(id);
    if (row?.job.route === route) {
        endJob(state, row, { kind: "cancelled" });
    }
    else if (row === undefined && state.readDelay.findEarliestArrival(state.now) < state.now) {
        state.earlyCancellations.set(id, state.now);
    }
}

/**
 * Forgets cancellations of jobs that were not open, once what was sent before them has been read.
 *
 * @param state - state of the entry
 */
export function forgetEarlyCancellations(state: EntryState): void {
    const earliest = state.readDelay.findEarliestArrival(state.now);
    for (const [id, cancelledAt] of state.earlyCancellations) {
        if (earliest >= cancelledAt) {
            state.earlyCancellations.delete(id);
        }
    }
}

/**
 * Interrupts or refuses every open job, because the process is about to stop.
 *
 * @param state - state of the entry
 */
export function interruptJobs(state: EntryState): void {
    for (const row of [...state.jobs.values()]) {
        if (mayHaveStarted(row)) {
            endJob(state, row, { kind: "interrupted", reason: "the entry stops" });
        }
        else {
            refuseJob(state, row, "shutting-down");
        }
    }
}

function computeDeadlines(state: EntryState, job: DirectJob, arrivedAt: number): JobDeadlines {
    const runTimes = state.runTimes.get(job.route);
    const { taskCount, estimatedMilliseconds } = job;
    const longest = runTimes?.estimateLongestMilliseconds(taskCount, estimatedMilliseconds) ?? estimatedMilliseconds;
    // Rare long tasks of one route are expected on the others too, which may have too few runs to show them.
    const longestKnown = [...state.runTimes.values()].reduce((milliseconds, other) => {
        return Math.max(milliseconds, other.estimateLongestKnownMilliseconds(estimatedMilliseconds));
    }, longest);
    return computeJobDeadlines(job, arrivedAt, longest, longestKnown);
}

/** Returns the estimated work of all waiting tasks, in core-milliseconds. */
function measureWaitingWork(state: EntryState): number {
    let work = 0;
    for (const { job, waitingTasks } of state.jobs.values()) {
        work += estimateWork(job, waitingTasks.length);
    }
    return work;
}
