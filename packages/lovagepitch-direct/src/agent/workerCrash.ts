/**
 * Crash of the worker: its process has ended although it has not announced its end. A refused call is a sign of that, but no
 * proof: a network may refuse too, or the worker may have no descriptor left. Its runs are lost when their lease has expired.
 */
import type { WorkerCrash } from "../model/workerCrash.js";
import type { AgentState, WorkerRefusal, WorkerRow } from "./agentState.js";

/**
 * Handles a refused view call. The first one makes the runs on the worker suspects, so that they are kept apart where their
 * jobs run next.
 *
 * @param state - state of the agent
 * @param worker - row of the worker
 * @returns the refusal, with the runs that were on the worker when it began
 */
export function receiveRefusal(state: AgentState, worker: WorkerRow): WorkerRefusal {
    if (worker.refusal !== undefined) {
        return worker.refusal;
    }
    const { now } = state;
    const runs = [...state.runs.values()].flatMap(({ identity: run, order, orderedAt, state: runState }) => {
        const ageMilliseconds = Math.round(now - orderedAt);
        return order === undefined || runState === "pending"
            ? []
            : [{ job: run.job, task: run.task, route: order.route ?? "", ageMilliseconds }];
    });
    const refusal = { since: now, runs, isUnbroken: true };
    recordCrash(state, { ...worker, refusal }, "suspected");
    return refusal;
}

/**
 * Records that a worker that had refused calls has crashed: the leases of its runs have expired, or another incarnation has
 * replaced it.
 *
 * @param state - state of the agent
 * @param worker - row of the worker
 */
export function confirmCrash(state: AgentState, worker: WorkerRow): void {
    const { refusal, report } = worker;
    if (refusal !== undefined && recordCrash(state, worker, undefined)) {
        const refusedForMilliseconds = Math.round(state.now - refusal.since);
        state.log("warn", "worker has crashed", {
            worker: report.id,
            refusedForMilliseconds,
            runs: describeRuns(state),
        });
    }
}

/**
 * Records that a worker that had refused calls answers again, so that nothing is held against what it runs.
 *
 * @param state - state of the agent
 * @param worker - row of the worker
 */
export function refuteCrash(state: AgentState, worker: WorkerRow): void {
    recordCrash(state, worker, "refuted");
}

/** Records what is known of a crash, unless the worker ran nothing or was about to end anyway. */
function recordCrash(state: AgentState, { refusal, report }: WorkerRow, certainty: WorkerCrash["certainty"]): boolean {
    if (refusal === undefined || refusal.runs.length === 0 || report.isDraining) {
        return false;
    }
    const { identity, now } = state;
    const { id, startedAt, service } = report;
    const isNew = state.crashRecords.add({
        id: `${identity.incarnation} ${id} ${startedAt ?? ""} ${refusal.since}`,
        instance: identity.instance,
        service,
        ageMilliseconds: Math.round(now - refusal.since),
        runs: refusal.runs,
        ...certainty === undefined ? {} : { certainty },
    }, now);
    if (isNew) {
        state.ownCrashRevision = state.crashRecords.revision;
    }
    return isNew;
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
