/**
 * What a collection proves.
 */
import type { JobAnswer, TaskAnswer } from "@lovagepitch/types/job";
import type { SubmissionResult, TaskReportState } from "@lovagepitch/types/peerMessage";
import type { AgentRegistration } from "@lovagepitch/types/registry";
import type { EntryState } from "../entryState.js";
import type { CollectionAgent, CollectionRow } from "../tables/collectionRow.js";
import { createExpiredProblem } from "./callerRequests.js";

/** One started task and where it started. */
interface ReportedTask {
    readonly report: TaskReportState;
    readonly agent: AgentRegistration;
}

/**
 * Finds the final result, if what was collected decides it.
 *
 * @param state - the entry's state
 * @param row - the collection
 * @returns the result, or undefined while it is open
 */
export function concludeCollection(state: EntryState, row: CollectionRow): SubmissionResult | undefined {
    if (row.agents === undefined) {
        return undefined;
    }
    const agents = [...row.agents.values()];
    const reportedTasks = findReportedTasks(agents);
    const reportStates = [...reportedTasks.values()].map(task => task.report.state);
    const isSealed = agents.every(agent => agent.state !== "asking");
    if (row.job !== undefined && isComplete(row, reportedTasks)) {
        return createAnswer(state, row, reportedTasks, false);
    }
    if (!isSealed || row.isReadingAnswers) {
        return undefined;
    }
    // Rows of agents that are gone, and their ledgers, are kept only while the id lives.
    const isExpired = row.identity.expiresAtMilliseconds <= state.now;
    if (isExpired && reportStates.length === 0) {
        return { kind: "problem", problem: state.recordRefusal(createExpiredProblem()) };
    }
    const isCertain = !isExpired && agents.every(agent => agent.state === "sealed" && !agent.isIncomplete);
    if (isCertain && reportStates.length === 0) {
        return createNotRunResult(state);
    }
    if (row.job === undefined || (reportStates.includes("running") && !reportStates.includes("failed"))) {
        return undefined;
    }
    return createAnswer(state, row, reportedTasks, isCertain);
}

/**
 * Makes the final result when the deadline has passed with agents unreachable.
 *
 * @param state - the entry's state
 * @param row - the collection
 * @returns a failed answer that says what may have run, or undefined when the job is not known
 */
export function createAbandonedResult(state: EntryState, row: CollectionRow): SubmissionResult | undefined {
    if (row.job === undefined) {
        return undefined;
    }
    return createAnswer(state, row, findReportedTasks([...row.agents?.values() ?? []]), false);
}

function findReportedTasks(agents: readonly CollectionAgent[]): ReadonlyMap<number, ReportedTask> {
    const reportedTasks = new Map<number, ReportedTask>();
    for (const agent of agents) {
        for (const { index, report } of agent.reports) {
            reportedTasks.set(index, { report, agent: agent.registration });
        }
    }
    return reportedTasks;
}

function isComplete(row: CollectionRow, reportedTasks: ReadonlyMap<number, ReportedTask>): boolean {
    const tasks = row.job?.tasks.length ?? 0;
    const succeeded = [...reportedTasks.values()].filter(task => task.report.state === "succeeded").length;
    return tasks > 0 && succeeded === tasks;
}

function createAnswer(
    state: EntryState,
    row: CollectionRow,
    reportedTasks: ReadonlyMap<number, ReportedTask>,
    isCertain: boolean,
): SubmissionResult {
    const isJobComplete = isComplete(row, reportedTasks);
    const indexes = (row.job?.tasks ?? []).map((_task, index) => index);
    const tasks = indexes.map(index => createTaskAnswer(index, reportedTasks.get(index), isJobComplete, isCertain));
    const result: JobAnswer = {
        submission: row.submission,
        state: isJobComplete ? "complete" : "failed",
        ...(isJobComplete
            ? {}
            : { reason: "the entry that kept the submission was lost before all tasks had finished" }),
        configurationVersion: state.configurationVersion,
        tasks,
    };
    return { kind: "answer", answer: result };
}

function createTaskAnswer(
    index: number,
    reportedTask: ReportedTask | undefined,
    isJobComplete: boolean,
    isCertain: boolean,
): TaskAnswer {
    if (reportedTask === undefined) {
        return { index, state: isCertain ? "not-run" : "may-have-run" };
    }
    const place = { worker: reportedTask.agent.worker, availabilityZone: reportedTask.agent.availabilityZone };
    const report = reportedTask.report;
    if (report.state === "succeeded") {
        return { index, state: "succeeded", ...place, ...(isJobComplete ? { output: report.output } : {}) };
    }
    return { index, state: report.state === "failed" ? "failed" : "may-have-run", ...place };
}

function createNotRunResult(state: EntryState): SubmissionResult {
    return {
        kind: "problem",
        problem: state.recordRefusal({
            kind: "keeper-unreachable",
            status: 503,
            detail: "The entry that kept the submission is gone; nothing of the job was started, and nothing will be.",
            remedy: "Send the job again under the id in nextSubmission.",
            execution: "not-run",
        }),
    };
}
