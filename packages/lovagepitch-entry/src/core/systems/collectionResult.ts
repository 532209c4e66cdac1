/**
 * Derives the result of a submission from its collection.
 */
import type { JobAnswer, TaskAnswer } from "@lovagepitch/types/job";
import type { SubmissionResult, TaskReportState } from "@lovagepitch/types/peerMessage";
import type { AgentRegistration } from "@lovagepitch/types/registry";
import type { EntryState } from "../entryState.js";
import type { CollectionAgent, CollectionRow } from "../tables/collectionRow.js";
import { createExpiredProblem } from "./callerRequests.js";

/** A started task and the agent that reported it. */
interface ReportedTask {
    readonly report: TaskReportState;
    readonly agent: AgentRegistration;
}

/**
 * Derives the final result once the agents' reports are sufficient.
 *
 * @param state - entry state, updated in place
 * @param row - collection to evaluate
 * @returns the final result, or undefined while reports are missing
 */
export function concludeCollection(state: EntryState, row: CollectionRow): SubmissionResult | undefined {
    if (row.agents === undefined) {
        return undefined;
    }
    const agents = [...row.agents.values()];
    const reportedTasks = findReportedTasks(agents);
    const reportStates = [...reportedTasks.values()].map(task => task.report.state);
    const isSealed = agents.every(agent => agent.state !== "pending");
    if (row.job !== undefined && isComplete(row, reportedTasks)) {
        return createAnswer(state, row, reportedTasks, false);
    }
    if (!isSealed || row.isReadingAnswers) {
        return undefined;
    }
    // Registry rows and ledgers of removed agents are retained only until the submission id expires.
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
 * Creates the final result when the deadline has passed and agents are still unreachable.
 *
 * @param state - entry state
 * @param row - collection to end
 * @returns an answer that marks unreported tasks as "may-have-run", or undefined when the job is unknown
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
    const location = { worker: reportedTask.agent.worker, availabilityZone: reportedTask.agent.availabilityZone };
    const report = reportedTask.report;
    if (report.state === "succeeded") {
        return { index, state: "succeeded", ...location, ...(isJobComplete ? { output: report.output } : {}) };
    }
    return { index, state: report.state === "failed" ? "failed" : "may-have-run", ...location };
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
