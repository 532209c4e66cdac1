/**
 * Results of runs: a task succeeds, is placed again, or fails its job.
 */
import { type EndedRun, formatRunKey, namesRun, type RunIdentity } from "../model/frames.js";
import { RunTimeDistribution } from "../policies/runTimeDistribution.js";
import { recordFailure, recordSuccess, type WorkerHealth } from "../policies/workerHealth.js";
import { endJob } from "./endJob.js";
import {
    type AgentRow,
    type EntryState,
    estimateWork,
    formatTaskKey,
    type JobRow,
    type PlacedTask,
} from "./entryState.js";

/** Consecutive failures of different jobs after which a worker is paused; a single failure may be caused by the job. */
const failuresUntilPause = 2;

/**
 * Processes the end of a run. An end that names no run placed at the agent that reports it is ignored: it is repeated, or
 * the entry has already given the run up.
 *
 * @param state - state of the entry
 * @param reporter - incarnation of the agent that has reported the end
 * @param ended - the run, how it ended and its duration
 */
export function receiveRunEnd(state: EntryState, reporter: string, ended: EndedRun): void {
    const placed = findPlacedTask(state, reporter, ended);
    if (placed === undefined) {
        state.log("info", "end of a run that is not open ignored", { ...ended, reporter });
        return;
    }
    const key = formatRunKey(placed.identity);
    state.placedTasks.delete(key);
    state.isPlacementDue = true;
    state.drainRate.record(placed.needs.milliCores * ended.ranMilliseconds / 1000, state.now);
    removeStoppingRun(state, ended.job, key);
    const agent = state.agents.get(placed.agent);
    const openRow = state.jobs.get(ended.job);
    // The job may have been submitted again since this run was placed.
    const row = openRow?.submission === placed.identity.submission ? openRow : undefined;
    if (agent !== undefined) {
        const health = evaluateWorkerHealth(state, agent, ended, row);
        logPause(state, agent, health);
        state.agents.set(agent.agent, { ...agent, openRunCount: agent.openRunCount - 1, health });
        if (agent.openRunCount === 1) {
            state.isolatedJobs.delete(agent.agent);
        }
    }
    if (row !== undefined) {
        continueJob(state, row, placed, ended);
    }
}

function findPlacedTask(state: EntryState, agent: string, identity: RunIdentity): PlacedTask | undefined {
    const placed = identity.submission === undefined
        ? [...state.placedTasks.values()].find(other => other.agent === agent && namesRun(identity, other.identity))
        : state.placedTasks.get(formatRunKey(identity));
    return placed?.agent === agent ? placed : undefined;
}

function evaluateWorkerHealth(
    state: EntryState,
    agent: AgentRow,
    ended: EndedRun,
    row: JobRow | undefined,
): WorkerHealth {
    switch (ended.end) {
        case "succeeded":
            return recordSuccess(agent.health);
        case "failed": {
            const hasFailedElsewhere = row?.failedOn.some(other => other !== agent.agent) ?? true;
            return recordFailure(agent.health, ended.job, hasFailedElsewhere, state.now, failuresUntilPause);
        }
        default:
            return agent.health;
    }
}

function logPause(state: EntryState, agent: AgentRow, health: WorkerHealth): void {
    if (health.pausedUntil > agent.health.pausedUntil) {
        state.log("warn", "worker paused", {
            instance: agent.instance,
            pauseMilliseconds: health.pauseMilliseconds,
        });
    }
}

function continueJob(state: EntryState, row: JobRow, placed: PlacedTask, ended: EndedRun): void {
    const { job } = row;
    if (ended.end === "succeeded") {
        recordRunTime(state, row, placed.agent, ended);
        state.crashingKinds.recordSuccess(job.service, job.route);
        const succeededTasks = row.succeededTasks + 1;
        const updated = { ...row, succeededTasks, openRuns: row.openRuns - 1, hasEndedRun: true };
        state.jobs.set(job.id, updated);
        if (succeededTasks === job.taskCount) {
            endJob(state, updated, { kind: "done" });
        }
        return;
    }
    const taskKey = formatTaskKey(job.id, ended.task);
    const history = state.taskHistories.get(taskKey) ?? {
        latestRun: ended.run,
        failures: 0,
        hasStalled: false,
        avoidedAgents: [],
    };
    const failures = history.failures + (ended.end === "failed" ? 1 : 0);
    const hasStarted = ended.end !== "not-started";
    if (!hasStarted) {
        state.roomRate.recordReturn(job.needs.milliCores);
        state.policies.queueShares.recordPlacement(job.service, job.route, -estimateWork(job, 1), state.now);
    }
    state.taskHistories.set(taskKey, {
        ...history,
        failures,
        hasStalled: history.hasStalled || ended.end === "stalled",
        avoidedAgents: hasStarted ? [...history.avoidedAgents, placed.agent] : history.avoidedAgents,
    });
    const updated = {
        ...row,
        waitingTasks: [...row.waitingTasks, ended.task],
        openRuns: row.openRuns - 1,
        hasEndedRun: row.hasEndedRun || hasStarted,
        failedOn: ended.end === "failed" ? [...row.failedOn, placed.agent] : row.failedOn,
    };
    state.jobs.set(job.id, updated);
    if (hasStarted) {
        state.log("info", "run did not succeed", { ...ended, agent: placed.agent, failures });
    }
    if (failures >= job.maximumAttempts) {
        endJob(state, updated, { kind: "failed" });
    }
}

function recordRunTime(state: EntryState, row: JobRow, agent: string, ended: EndedRun): void {
    const distribution = state.runTimes.get(row.job.route) ?? new RunTimeDistribution();
    state.runTimes.set(row.job.route, distribution);
    distribution.record(ended.ranMilliseconds, row.job.estimatedMilliseconds, state.workerSpeeds.get(agent));
}

function removeStoppingRun(state: EntryState, job: string, runKey: string): void {
    const stopping = state.stoppingRuns.get(job);
    if (stopping?.has(runKey) !== true) {
        return;
    }
    const rest = new Set(stopping);
    rest.delete(runKey);
    if (rest.size === 0) {
        state.stoppingRuns.delete(job);
    }
    else {
        state.stoppingRuns.set(job, rest);
    }
}
