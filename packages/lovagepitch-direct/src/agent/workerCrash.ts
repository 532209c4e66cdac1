/**
 * Crash of the worker: no process listens at its address any more, although it has not announced its end.
 */
import { idleViewRetryDelayMilliseconds } from "../model/timing.js";
import type { AgentState, WorkerRow } from "./agentState.js";
import { endAllRunsAsLost } from "./runEnds.js";
import { removeWorker } from "./workerRegistration.js";

/**
 * Handles the end of the worker's process. Its runs have ended with it, so their entries are told at once instead of
 * after the lease.
 *
 * @param state - state of the agent
 * @param worker - row of the worker
 */
export function receiveCrash(state: AgentState, worker: WorkerRow): void {
    const { now } = state;
    if (!worker.hasCrashed) {
        const { id, isDraining } = worker.report;
        state.log("warn", "worker has crashed", { worker: id, isDraining, runs: describeRuns(state) });
        state.markUpdatePending();
        recordLostRuns(state, worker);
    }
    state.worker = {
        ...worker,
        hasCrashed: true,
        isResponsive: false,
        missedViews: worker.missedViews + 1,
        callInFlight: undefined,
        nextCallAt: now + idleViewRetryDelayMilliseconds,
    };
    endAllRunsAsLost(state);
    if (state.pendingReport !== undefined) {
        removeWorker(state);
    }
}

/** Records the crash with the runs that were lost, unless the worker was about to end anyway. */
function recordLostRuns(state: AgentState, worker: WorkerRow): void {
    const { identity, now } = state;
    const { id, startedAt, service, isDraining } = worker.report;
    const runs = [...state.runs.values()].flatMap(({ identity: run, order, orderedAt }) => {
        const ageMilliseconds = Math.round(now - orderedAt);
        return order === undefined ? [] : [{ job: run.job, task: run.task, route: order.route ?? "", ageMilliseconds }];
    });
    if (isDraining || runs.length === 0) {
        return;
    }
    state.crashRecords.add({
        id: `${identity.instance} ${id} ${startedAt ?? ""}`,
        instance: identity.instance,
        service,
        ageMilliseconds: 0,
        runs,
    }, now);
}

/**
 * Lists the runs of the worker for the log.
 *
 * @param state - state of the agent
 * @returns job, task, run and age in milliseconds of each run
 */
export function describeRuns(state: AgentState): readonly (readonly [string, number, number, number])[] {
    return [...state.runs.values()].map(({ identity, orderedAt }) => {
        return [identity.job, identity.task, identity.run, Math.round(state.now - orderedAt)];
    });
}
