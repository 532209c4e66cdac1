/**
 * Capacity of the worker, which may shrink and grow while it runs. The agent is the last to decide on a start, so it must not
 * act on a capacity from before a change.
 */
import { fitsInto, type Resources } from "../model/resources.js";
import type { ReportedCapacity, ReportInstant, WorkerReport } from "../model/workerStatus.js";
import type { AgentState, WorkerRow } from "./agentState.js";

/** Shortest time between two records of a capacity that only grows, in milliseconds; bounds the writes to the store. */
const growthRecordIntervalMilliseconds = 10_000;

/** A report that is older than this many intervals between reports does not show the capacity any more. */
const validReportIntervals = 2.5;

/** Interval between reports by which the age of an entry's news is judged while the interval is not known, in milliseconds. */
const assumedReportIntervalMilliseconds = 1000;

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
 * Tells whether the capacity of the worker is known: by a report that is recent on the worker's clock, which runs on while the
 * process is paused or away. A record of an earlier process does not show it, however it was written.
 *
 * @param state - state of the agent
 * @param worker - row of the worker
 * @returns false when the report is too old, or only a record is known
 */
export function isCapacityKnown(state: AgentState, worker: WorkerRow): boolean {
    const { capacityReportedAt } = worker;
    if (capacityReportedAt === undefined) {
        return false;
    }
    if (state.reportIntervalMilliseconds === undefined && !worker.isRestored) {
        return true;
    }
    const interval = state.reportIntervalMilliseconds ?? assumedReportIntervalMilliseconds;
    const age = state.now + worker.clockOffset - capacityReportedAt;
    return age <= validReportIntervals * interval;
}

/**
 * Takes the capacity of a restored worker from the latest report that an entry has heard of from an earlier process. It is the smaller
 * one of that and of the record until the worker reports.
 *
 * @param state - state of the agent
 * @param known - what the entry has heard; undefined when it has heard nothing
 */
export function restoreCapacity(state: AgentState, known: ReportedCapacity | undefined): void {
    const { worker } = state;
    if (known === undefined || worker?.isRestored !== true || !isOfWorker(known, worker)) {
        return;
    }
    const { capacityReportedAt = Number.NEGATIVE_INFINITY, report } = worker;
    if (known.workerClock <= capacityReportedAt) {
        return;
    }
    const { capacity: recorded } = report;
    const capacity = {
        milliCores: Math.min(recorded.milliCores, known.capacity.milliCores),
        memoryMegabytes: Math.min(recorded.memoryMegabytes, known.capacity.memoryMegabytes),
        accelerators: Math.min(recorded.accelerators, known.capacity.accelerators),
    };
    state.worker = { ...worker, capacityReportedAt: known.workerClock, report: { ...report, capacity } };
    state.log("info", "capacity of a restored worker confirmed", { worker: report.id, recorded, capacity });
    state.markUpdatePending();
}

/** Tells whether a report comes from the incarnation of the worker that the agent knows. */
function isOfWorker(known: ReportInstant, { report }: WorkerRow): boolean {
    return known.worker === report.id && known.startedAt === report.startedAt;
}
