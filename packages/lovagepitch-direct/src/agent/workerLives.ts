/**
 * Lives of a worker. A worker that restarts may keep its id; it then knows nothing of its former life, and its clock
 * and its numbers begin anew. The instant of its start tells the lives apart.
 */
import { longestWorkerLeaseMilliseconds, workerLeaseMilliseconds } from "../model/timing.js";
import type { WorkerReport } from "../model/workerStatus.js";
import { RunSpeed } from "../policies/runSpeed.js";
import { initialWorkerHealth } from "../policies/workerHealth.js";
import type { AgentState, RunRow, WorkerRow } from "./agentState.js";
import { deriveEpoch } from "./epochs.js";
import { endRun } from "./runEnds.js";
import { confirmCrash } from "./workerCrash.js";

/** A life of a worker id, compared with the one that the agent knows. */
export type LifeComparison = "same" | "earlier" | "later";

/**
 * Compares two starts of a worker with the same id.
 *
 * @param known - start of the known life, in Unix milliseconds; undefined when the worker does not report it
 * @param seen - start of the life that a message comes from
 * @returns whether the message comes from the same, an earlier or a later life; `same` when a start is not known
 */
export function compareLives(known: number | undefined, seen: number | undefined): LifeComparison {
    if (known === undefined || seen === undefined || known === seen) {
        return "same";
    }
    return seen > known ? "later" : "earlier";
}

/** The first sign of a later life. */
export interface LifeSign {
    readonly startedAt: number;
    /** Worker's monotonic clock, in milliseconds. */
    readonly workerClock: number;
    /** Report of the later life; undefined when another answer of the worker was the first sign. */
    readonly report: WorkerReport | undefined;
}

/**
 * Replaces the worker by its later life. What ran in the former life has ended, but orders that were under way may have
 * reached the later one. The next view is requested with a higher epoch, so that it excludes such orders from then on,
 * and tells which runs there are; all others are reported as lost. Until the later life has reported, it gets no tasks.
 *
 * @param state - state of the agent
 * @param worker - row of the former life
 * @param sign - first sign of the later life
 */
export function beginLaterLife(state: AgentState, worker: WorkerRow, sign: LifeSign): void {
    const { now } = state;
    confirmCrash(state, worker);
    state.health = initialWorkerHealth;
    state.percentsAtMeasurement = new Map();
    state.runSpeed = new RunSpeed();
    state.worker = {
        report: sign.report ?? {
            ...worker.report,
            startedAt: sign.startedAt,
            isDraining: false,
            drainRemainingMilliseconds: undefined,
            workerClock: sign.workerClock,
            sequence: Number.NEGATIVE_INFINITY,
        },
        life: state.nextLife,
        isLaterLife: true,
        hasReported: sign.report !== undefined,
        isRestored: false,
        capacityReportedAt: sign.report?.workerClock,
        endsAt: undefined,
        needsEpoch: false,
        epoch: deriveEpoch(state.identity, sign, worker.epoch),
        confirmedEpoch: Number.NEGATIVE_INFINITY,
        epochRaisedAt: now,
        timesReplaced: 0,
        hasLateCall: false,
        isConfirmed: false,
        clockOffset: sign.workerClock - now,
        acknowledgedEndSequence: 0,
        // A lease that was computed for the former life's clock may be the longest that the worker grants.
        leaseExtensionSentAt: now + longestWorkerLeaseMilliseconds - workerLeaseMilliseconds,
        leaseExtensionCall: 0,
        lastAnsweredAt: now,
        missedViews: 0,
        isResponsive: true,
        refusal: undefined,
        hasLeft: false,
        callInFlight: undefined,
        nextCallAt: now,
    };
    state.nextLife += 1;
    for (const [key, row] of [...state.runs.entries()]) {
        if (row.state === "pending") {
            endRun(state, row, "not-started");
        }
        else {
            state.runs.set(key, carryOver(state, row));
        }
    }
    state.log("warn", "worker has started again under its id", {
        worker: worker.report.id,
        startedAt: sign.startedAt,
        formerStartedAt: worker.report.startedAt,
        runs: state.runs.size,
        hasReported: sign.report !== undefined,
    });
    state.markUpdatePending();
}

/**
 * Describes a run of a former life for the later one: it may have started in the former life, so it is never reported as
 * not started, its order is not repeated, and the next view decides whether it has ended.
 */
function carryOver(state: AgentState, row: RunRow): RunRow {
    const isStopped = row.state === "stopping" || row.state === "stopped";
    return {
        ...row,
        state: isStopped ? "stopping" : "running",
        runningSince: state.now,
        percent: 0,
        percentChangedAt: state.now,
        visibleFromCall: state.nextCall,
        nextStopAt: state.now,
        isStopInFlight: false,
        stopReason: row.stopReason === "not-started" ? "stopped" : row.stopReason,
    };
}
