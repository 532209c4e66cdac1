/**
 * Reports with other properties than the known ones. One incarnation of a worker keeps its service and labels, so such a report comes from
 * another writer, or the known properties do.
 */
import { isEqual } from "../links/frameFormat.js";
import type { WorkerReport } from "../model/workerStatus.js";
import type { AgentState, WorkerRow } from "./agentState.js";

/**
 * Decides whether a report is used. One with other properties is set aside, and they replace the known ones when the next report of the
 * incarnation has them too: the worker itself reports periodically, another writer need not.
 *
 * @param state - state of the agent
 * @param worker - row of the worker, of the incarnation that the report names
 * @param report - received report
 * @returns true when the report is not to be used
 */
export function setContestedReportAside(state: AgentState, worker: WorkerRow, report: WorkerReport): boolean {
    const { contestedReport } = state;
    const isUnknown = worker.isRestored || !worker.hasReported;
    const hasKnownProperties = isUnknown || haveSameProperties(worker.report, report);
    const isConfirmed = contestedReport?.id === report.id && haveSameProperties(contestedReport, report)
        && report.sequence > contestedReport.sequence;
    if (hasKnownProperties || isConfirmed) {
        state.contestedReport = undefined;
        return false;
    }
    state.contestedReport = report;
    state.log("warn", "worker report with other properties set aside", {
        worker: report.id,
        service: report.service,
        labels: report.labels,
        knownService: worker.report.service,
        knownLabels: worker.report.labels,
    });
    return true;
}

/**
 * Tells whether two reports have the properties that one incarnation of a worker keeps.
 *
 * @param left - first report
 * @param right - second report
 * @returns true when service and labels are the same
 */
export function haveSameProperties(left: WorkerReport, right: WorkerReport): boolean {
    return left.service === right.service && isEqual(left.labels, right.labels);
}
