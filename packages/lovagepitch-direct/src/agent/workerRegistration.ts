/**
 * Registration of the worker: its reports, the record for a restarted process of the agent, and its end.
 */
import type { WorkerRegistration, WorkerReport } from "../model/workerStatus.js";
import { RunSpeed } from "../policies/runSpeed.js";
import { initialWorkerHealth } from "../policies/workerHealth.js";
import type { AgentState, WorkerRow } from "./agentState.js";
import { haveSameProperties, setContestedReportAside } from "./contestedReports.js";
import { deriveEpoch } from "./epochs.js";
import { endAllRunsAsLost } from "./runEnds.js";
import { isCapacityToBeRecorded, logCapacityChange } from "./workerCapacity.js";
import { confirmCrash } from "./workerCrash.js";
import { beginLaterLife, compareLives } from "./workerLives.js";

/**
 * Processes a report of the worker. A new incarnation receives tasks once it has answered a view call that names it.
 *
 * @param state - state of the agent
 * @param report - received report
 */
export function receiveReport(state: AgentState, report: WorkerReport): void {
    const { worker } = state;
    if (worker?.report.id === report.id) {
        const life = compareLives(worker.report.startedAt, report.startedAt);
        if (life === "later" && report.startedAt !== undefined) {
            beginLaterLife(state, worker, { startedAt: report.startedAt, workerClock: report.workerClock, report });
            recordWorkerChange(state, report.isDraining ? undefined : report);
            return;
        }
        if (life === "earlier" || setContestedReportAside(state, worker, report)) {
            return;
        }
        // What another writer has reported, also its numbers, does not count beside the worker's own reports.
        const isOfSameWriter = haveSameProperties(worker.report, report);
        if (isOfSameWriter && report.sequence <= worker.report.sequence) {
            return;
        }
        if (!worker.hasReported || !isOfSameWriter || isCapacityToBeRecorded(state, report.capacity)) {
            recordWorkerChange(state, report.isDraining ? undefined : report);
        }
        logCapacityChange(state, worker, report);
        if (report.isDraining && !worker.report.isDraining) {
            state.log("info", "worker drains", { worker: report.id });
            recordWorkerChange(state, undefined);
        }
        // A worker that has started to drain does not accept tasks again.
        const isDraining = report.isDraining || (isOfSameWriter && worker.report.isDraining);
        state.worker = {
            ...worker,
            hasReported: true,
            isRestored: false,
            capacityReportedAt: report.workerClock,
            report: { ...report, isDraining, startedAt: report.startedAt ?? worker.report.startedAt },
            endsAt: computeWorkerEnd(state, report) ?? worker.endsAt,
        };
        state.markUpdatePending();
        return;
    }
    if (worker !== undefined && compareLives(worker.report.startedAt, report.startedAt) === "earlier") {
        // A report of a former worker that was delayed.
        return;
    }
    const isRestoredUnconfirmed = worker?.needsEpoch === true;
    if (worker !== undefined && !isRestoredUnconfirmed) {
        // Only one incarnation answers at the worker's address, so the next view call shows which one it is.
        state.pendingReport = report;
        const isWaiting = worker.refusal !== undefined || worker.timesReplaced > 0;
        if (isWaiting && worker.callInFlight === undefined) {
            state.worker = { ...worker, nextCallAt: state.now };
        }
        return;
    }
    registerWorker(state, report);
}

/**
 * Registers the worker that an earlier process of this agent has recorded, so that a restarted agent can call it before
 * its next report. The worker receives tasks once it has answered as that incarnation and its capacity is known. Reports take precedence.
 *
 * @param state - state of the agent
 * @param registration - recorded worker
 */
export function restoreWorker(state: AgentState, registration: WorkerRegistration): void {
    if (state.worker !== undefined) {
        return;
    }
    addWorker(state, {
        ...registration,
        isDraining: false,
        drainRemainingMilliseconds: undefined,
        workerClock: 0,
        sequence: Number.NEGATIVE_INFINITY,
    }, true);
    state.recordedCapacity = { capacity: registration.capacity, at: state.now };
    state.log("info", "worker restored", { worker: registration.id, service: registration.service });
}

function registerWorker(state: AgentState, report: WorkerReport): void {
    addWorker(state, report, false);
    recordWorkerChange(state, report.isDraining ? undefined : report);
    const { id, startedAt, service, capacity, workerClock } = report;
    state.log("info", "worker registered", { worker: id, startedAt, service, capacity, workerClock });
}

/** Emits the worker that a restarted process of this agent may use. */
function recordWorkerChange(state: AgentState, worker: WorkerRegistration | undefined): void {
    const registration = worker === undefined
        ? undefined
        : {
            id: worker.id,
            ...worker.startedAt === undefined ? {} : { startedAt: worker.startedAt },
            service: worker.service,
            capacity: worker.capacity,
            labels: worker.labels,
        };
    state.recordedCapacity = registration === undefined
        ? undefined
        : { capacity: registration.capacity, at: state.now };
    state.outputs.push({ kind: "worker-changed", registration });
}

function addWorker(state: AgentState, report: WorkerReport, needsEpoch: boolean): void {
    state.pendingReport = undefined;
    state.health = initialWorkerHealth;
    state.runSpeed = new RunSpeed();
    state.worker = {
        report,
        life: state.nextLife,
        isLaterLife: false,
        hasReported: true,
        isRestored: needsEpoch,
        capacityReportedAt: needsEpoch ? undefined : report.workerClock,
        endsAt: computeWorkerEnd(state, report),
        needsEpoch,
        epoch: deriveEpoch(state.identity, report, 0),
        confirmedEpoch: Number.NEGATIVE_INFINITY,
        epochRaisedAt: Number.NEGATIVE_INFINITY,
        timesReplaced: 0,
        hasLateCall: false,
        isConfirmed: false,
        clockOffset: report.workerClock - state.now,
        acknowledgedEndSequence: 0,
        leaseExtensionSentAt: Number.NEGATIVE_INFINITY,
        leaseExtensionCall: 0,
        lastAnsweredAt: state.now,
        missedViews: 0,
        isResponsive: true,
        refusal: undefined,
        hasLeft: false,
        callInFlight: undefined,
        nextCallAt: state.now,
    };
    state.nextLife += 1;
    state.markUpdatePending();
}

function computeWorkerEnd(state: AgentState, report: WorkerReport): number | undefined {
    const { drainRemainingMilliseconds: remaining } = report;
    return report.isDraining && remaining !== undefined ? state.now + remaining : undefined;
}

/**
 * Removes the worker's incarnation, which has ended with all its runs, and registers the next one if it has reported.
 *
 * @param state - state of the agent
 */
export function removeWorker(state: AgentState): void {
    if (state.worker !== undefined) {
        confirmCrash(state, state.worker);
    }
    endAllRunsAsLost(state);
    state.worker = undefined;
    state.markUpdatePending();
    // The record may keep naming the ended incarnation: no call to it succeeds, so it is not used again.
    if (state.pendingReport !== undefined) {
        registerWorker(state, state.pendingReport);
    }
}

/**
 * Handles the worker's announcement that it ends: it gets no more tasks, and is removed once it has no runs. An announcement of a former life under the same id is ignored;
 * when it does not say which life ends, it is that of the current one only if that one drains.
 *
 * @param state - state of the agent
 * @param id - id of the worker that ends
 * @param startedAt - start of the incarnation that ends, in Unix milliseconds; undefined when it is not known
 */
export function receiveWorkerLeft(state: AgentState, id: string, startedAt: number | undefined): void {
    const { worker } = state;
    if (worker?.report.id !== id) {
        return;
    }
    const isFormerLife = startedAt === undefined
        ? worker.isLaterLife && !worker.report.isDraining
        : compareLives(worker.report.startedAt, startedAt) === "earlier";
    if (isFormerLife) {
        state.log("info", "announcement of a former life of the worker ignored", { worker: id, startedAt });
    }
    else {
        state.log("info", "worker left", { worker: id, runs: state.runs.size });
        // Its process may run on for a moment, so its runs are lost only when that is certain.
        state.worker = { ...worker, hasLeft: true, report: { ...worker.report, isDraining: true } };
        state.markUpdatePending();
        removeLeftWorker(state);
    }
}

/**
 * Removes a worker that has announced its end once it has no runs.
 *
 * @param state - state of the agent
 */
export function removeLeftWorker(state: AgentState): void {
    if (state.worker?.hasLeft === true && state.runs.size === 0) {
        removeWorker(state);
    }
}

/**
 * Takes an epoch above those of all earlier processes of this agent; the next view call confirms it.
 *
 * @param state - state of the agent
 * @param worker - row of the worker
 * @param workerClock - worker's monotonic clock, in milliseconds
 */
export function takeEpoch(state: AgentState, worker: WorkerRow, workerClock: number): void {
    const epoch = deriveEpoch(
        state.identity,
        { startedAt: worker.report.startedAt, workerClock },
        worker.epoch,
    );
    if (!worker.needsEpoch) {
        state.log("info", "worker has seen a higher epoch; taking a new one", { worker: worker.report.id, epoch });
    }
    state.worker = {
        ...worker,
        epoch,
        needsEpoch: false,
        hasLateCall: false,
        isConfirmed: false,
        clockOffset: workerClock - state.now,
        callInFlight: undefined,
        nextCallAt: state.now,
    };
    state.markUpdatePending();
}
