/**
 * What a collection proves.
 */
import type { JobAnswer, TaskAnswer } from "@lovagepitch/types/job";
import type { SubmissionResult, TaskReportState } from "@lovagepitch/types/peerMessage";
import type { AgentRegistration } from "@lovagepitch/types/registry";
import type { EntryState } from "../entryState.js";
import type { CollectionRow, SealedAgent } from "../tables/collectionRow.js";
import { createExpired } from "./callerRequests.js";

/** One started task and where it started. */
interface FoundTask {
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
    const found = findTasks(agents);
    const reports = [...found.values()].map(task => task.report.state);
    const isSealed = agents.every(agent => agent.state !== "asking");
    if (row.job !== undefined && isComplete(row, found)) {
        return answer(state, row, found, false);
    }
    if (!isSealed || row.readingAnswers) {
        return undefined;
    }
    // Rows of agents that are gone, and their ledgers, are kept only while the id lives.
    const isExpired = row.identity.expiresAtMilliseconds <= state.now;
    if (isExpired && reports.length === 0) {
        return { kind: "problem", problem: state.refuse(createExpired()) };
    }
    const isCertain = !isExpired && agents.every(agent => agent.state === "sealed" && !agent.incomplete);
    if (isCertain && reports.length === 0) {
        return notRun(state);
    }
    if (row.job === undefined || (reports.includes("running") && !reports.includes("failed"))) {
        return undefined;
    }
    return answer(state, row, found, isCertain);
}

/**
 * Makes the final result when the deadline has passed with agents unreachable.
 *
 * @param state - the entry's state
 * @param row - the collection
 * @returns a failed answer that says what may have run, or undefined when the job is not known
 */
export function giveUpCollection(state: EntryState, row: CollectionRow): SubmissionResult | undefined {
    if (row.job === undefined) {
        return undefined;
    }
    return answer(state, row, findTasks([...row.agents?.values() ?? []]), false);
}

function findTasks(agents: readonly SealedAgent[]): ReadonlyMap<number, FoundTask> {
    const found = new Map<number, FoundTask>();
    for (const agent of agents) {
        for (const { index, report } of agent.reports) {
            found.set(index, { report, agent: agent.registration });
        }
    }
    return found;
}

function isComplete(row: CollectionRow, found: ReadonlyMap<number, FoundTask>): boolean {
    const tasks = row.job?.tasks.length ?? 0;
    const succeeded = [...found.values()].filter(task => task.report.state === "succeeded").length;
    return tasks > 0 && succeeded === tasks;
}

function answer(
    state: EntryState,
    row: CollectionRow,
    found: ReadonlyMap<number, FoundTask>,
    isCertain: boolean,
): SubmissionResult {
    const complete = isComplete(row, found);
    const indexes = (row.job?.tasks ?? []).map((_task, index) => index);
    const tasks = indexes.map(index => describe(index, found.get(index), complete, isCertain));
    const result: JobAnswer = {
        submission: row.submission,
        state: complete ? "complete" : "failed",
        ...(complete ? {} : { reason: "the entry that kept the submission was lost before all tasks had finished" }),
        configurationVersion: state.configurationVersion,
        tasks,
    };
    return { kind: "answer", answer: result };
}

function describe(index: number, found: FoundTask | undefined, complete: boolean, isCertain: boolean): TaskAnswer {
    if (found === undefined) {
        return { index, state: isCertain ? "not-run" : "may-have-run" };
    }
    const place = { worker: found.agent.worker, availabilityZone: found.agent.availabilityZone };
    const report = found.report;
    if (report.state === "succeeded") {
        return { index, state: "succeeded", ...place, ...(complete ? { output: report.output } : {}) };
    }
    return { index, state: report.state === "failed" ? "failed" : "may-have-run", ...place };
}

function notRun(state: EntryState): SubmissionResult {
    return {
        kind: "problem",
        problem: state.refuse({
            kind: "keeper-unreachable",
            status: 503,
            detail: "The entry that kept the submission is gone; nothing of the job was started, and nothing will be.",
            remedy: "Send the job again under the id in nextSubmission.",
            execution: "not-run",
        }),
    };
}
