/**
 * Capacity of the worker, which may shrink and grow while it runs. The agent is the last to decide on a start, so it must not
 * act on a capacity from before a change.
 */
import { fitsInto, type Resources } from "../model/resources.js";
import type { WorkerReport } from "../model/workerStatus.js";
import type { AgentState, WorkerRow } from "./agentState.js";

/** Shortest time between two records of a capacity that only grows, in milliseconds; bounds the writes to the store. */
const growthRecordIntervalMilliseconds = 10_000;

/** A report that is older than this many intervals between reports does not show the capacity any more. */
const validReportIntervals = 2.5;

/**
 * Tells whether the capacity has to be recorded for a restarted process: at once when it has shrunk, later when it has
 * grown.
 *
 * @param state - state of the agent
 * @param capacity - reported capacity
 * @returns true when the latest record is to be replaced
 */
export function isCapacityToBeRecorded(state: AgentState, capacity: Resources): boolean {
    const { recordedCapacity: recorded } = state;
    if (recorded === undefined || fitsInto(capacity, recorded.capacity) && fitsInto(recorded.capacity, capacity)) {
        return false;
    }
    return !fitsInto(recorded.capacity, capacity) || state.now - recorded.at >= growthRecordIntervalMilliseconds;
}

/**
 * Logs a change of the capacity.
 *
 * @param state - state of the agent
 * @param worker - row of the worker with its former capacity
 * @param report - received report
 */
export function logCapacityChange(state: AgentState, worker: WorkerRow, report: WorkerReport): void {
    const { capacity: former } = worker.report;
    if (!fitsInto(former, report.capacity) || !fitsInto(report.capacity, former)) {
        state.log("info", "worker capacity changed", {
            worker: report.id,
            former,
            capacity: report.capacity,
            runs: state.runs.size,
        });
    }
}

/**
 * Tells whether the capacity of the worker is known. After a pause of the process it is not until the worker reports again.
 * The age of the report is measured on the worker's clock, which runs on while the agent's instance is suspended. The record of an earlier process may be outdated if that process could not replace it, because the store was away.
 *
 * @param state - state of the agent
 * @param worker - row of the worker
 * @returns false when its latest report is too old, or only a record is known and it is doubted
 */
export function isCapacityKnown(state: AgentState, worker: WorkerRow): boolean {
    const { reportIntervalMilliseconds: interval } = state;
    if (worker.isRestored) {
        return worker.recordTrust !== "doubted";
    }
    if (interval === undefined) {
        return true;
    }
    const age = state.now + worker.clockOffset - worker.report.workerClock;
    return age <= validReportIntervals * interval;
}

/**
 * Confirms the record of a restored worker by what an entry has lately heard from the earlier process. Its capacity is the smaller
 * one of both until the worker reports.
 *
 * @param state - state of the agent
 * @param known - capacity that the entry knows; undefined when it has heard none lately
 */
export function confirmRestoredCapacity(state: AgentState, known: Resources | undefined): void {
    const { worker } = state;
    if (known === undefined || worker?.isRestored !== true) {
        return;
    }
    const { capacity: recorded } = worker.report;
    if (worker.recordTrust !== "doubted" && fitsInto(recorded, known)) {
        return;
    }
    const capacity = {
        milliCores: Math.min(recorded.milliCores, known.milliCores),
        memoryMegabytes: Math.min(recorded.memoryMegabytes, known.memoryMegabytes),
        accelerators: Math.min(recorded.accelerators, known.accelerators),
    };
    state.worker = { ...worker, recordTrust: "confirmed", report: { ...worker.report, capacity } };
    state.log("info", "capacity of a restored worker confirmed", { worker: worker.report.id, recorded, capacity });
    state.markUpdatePending();
}
