/**
 * Results of runs: a task is finished, tried again, or fails its job.
 */
import { type EndedRun, formatRunKey } from "../model/frames.js";
import { RunTimeSpread } from "../policies/runTimeSpread.js";
import { recordFailure, recordSuccess, type WorkerHealth } from "../policies/workerHealth.js";
import { type AgentRow, type EntryState, formatTaskKey, type JobRow, type PlacedTask } from "./entryState.js";
import { endJob } from "./jobEnds.js";

/** Failures of different jobs in a row that make a worker suspect; one may be the job's own fault. */
const failuresUntilSuspect = 2;

/**
 * Takes the end of a run.
 *
 * @param state - the entry
 * @param ended - the run and its end
 */
export function receiveRunEnd(state: EntryState, ended: EndedRun): void {
    const key = formatRunKey(ended);
    const placed = state.placed.get(key);
    if (placed === undefined) {
        return;
    }
    state.placed.delete(key);
    state.mayPlace = true;
    state.drainRate.record(placed.needs.milliCores * ended.ranMilliseconds / 1000, state.now);
    forgetEndingRun(state, ended.job, key);
    const agent = state.agents.get(placed.agent);
    const row = state.jobs.get(ended.job);
    if (agent !== undefined) {
        const health = judgeWorker(state, agent, ended, row);
        logHealth(state, agent, health);
        state.agents.set(agent.agent, { ...agent, runs: agent.runs - 1, health });
    }
    if (row !== undefined) {
        continueJob(state, row, placed, ended);
    }
}

function judgeWorker(state: EntryState, agent: AgentRow, ended: EndedRun, row: JobRow | undefined): WorkerHealth {
    switch (ended.end) {
        case "succeeded":
            return recordSuccess(agent.health);
        case "failed": {
            const failedElsewhere = row?.failedOn.some(other => other !== agent.agent) ?? true;
            return recordFailure(agent.health, ended.job, failedElsewhere, state.now, failuresUntilSuspect);
        }
        default:
            return agent.health;
    }
}

function logHealth(state: EntryState, agent: AgentRow, health: WorkerHealth): void {
    if (health.pausedUntil > agent.health.pausedUntil) {
        state.log("warn", "worker gets no new tasks for a while", {
            instance: agent.instance,
            pauseMilliseconds: health.pauseMilliseconds,
        });
    }
}

function continueJob(state: EntryState, row: JobRow, placed: PlacedTask, ended: EndedRun): void {
    const { job } = row;
    if (ended.end === "succeeded") {
        recordRunTime(state, row, ended);
        const succeededTasks = row.succeededTasks + 1;
        const updated = { ...row, succeededTasks, openRuns: row.openRuns - 1, hasRun: true };
        state.jobs.set(job.id, updated);
        if (succeededTasks === job.taskCount) {
            endJob(state, updated, { kind: "done" });
        }
        return;
    }
    const taskKey = formatTaskKey(job.id, ended.task);
    const history = state.histories.get(taskKey) ?? { run: ended.run, failures: 0, avoid: [] };
    const failures = history.failures + (ended.end === "failed" ? 1 : 0);
    const avoids = ended.end !== "not-started";
    state.histories.set(taskKey, {
        ...history,
        failures,
        avoid: avoids ? [...history.avoid, placed.agent] : history.avoid,
    });
    const updated = {
        ...row,
        waitingTasks: [...row.waitingTasks, ended.task],
        openRuns: row.openRuns - 1,
        hasRun: row.hasRun || avoids,
        failedOn: ended.end === "failed" ? [...row.failedOn, placed.agent] : row.failedOn,
    };
    state.jobs.set(job.id, updated);
    if (avoids) {
        state.log("info", "run did not succeed", { ...ended, agent: placed.agent, failures });
    }
    if (failures >= job.maximumAttempts) {
        endJob(state, updated, { kind: "failed" });
    }
}

function recordRunTime(state: EntryState, row: JobRow, ended: EndedRun): void {
    const spread = state.runTimes.get(row.job.route) ?? new RunTimeSpread();
    state.runTimes.set(row.job.route, spread);
    spread.record(ended.ranMilliseconds, row.job.estimatedMilliseconds);
}

function forgetEndingRun(state: EntryState, job: string, runKey: string): void {
    const ending = state.endingRuns.get(job);
    if (ending?.has(runKey) !== true) {
        return;
    }
    const rest = new Map([...ending].filter(([key]) => key !== runKey));
    if (rest.size === 0) {
        state.endingRuns.delete(job);
    }
    else {
        state.endingRuns.set(job, rest);
    }
}
