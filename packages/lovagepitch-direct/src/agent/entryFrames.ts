/**
 * Frames to entries: ended runs, state of the worker, heartbeats, and configurations that entries have asked for.
 */
import { type AgentFrame, pickRunIdentity } from "../model/frames.js";
import { addResources, noResources } from "../model/resources.js";
import { heartbeatIntervalMilliseconds, idleHeartbeatIntervalMilliseconds } from "../model/timing.js";
import type { ReportInstant, WorkerStatus } from "../model/workerStatus.js";
import { isNoticeDue } from "../model/zoneEvacuations.js";
import { getUpdateIntervalMilliseconds } from "../policies/updateInterval.js";
import type { AgentState, EntryRow, WorkerRow } from "./agentState.js";
import { findConfigurationSource } from "./configurationSource.js";
import { findIsolation } from "./isolation.js";
import { listUnconfirmedEnds } from "./runEnds.js";
import { acceptsTasks } from "./runOrders.js";

/**
 * Sends each entry the runs that have ended and the state that has changed since its latest frame, or a heartbeat when
 * one is due.
 *
 * @param state - state of the agent
 * @param lastSentAt - instant at which the latest frame was sent, by address
 */
export function sendFrames(state: AgentState, lastSentAt: Map<string, number>): void {
    let worker: WorkerStatus | undefined;
    let using: ReadonlySet<string> | undefined;
    const configurationSource = findConfigurationSource(state);
    for (const row of state.entries.values()) {
        // Until the entry has sent its first frame, it receives a single frame that identifies the agent.
        const canSend = !row.hasSentFirstFrame || row.includedSequence > 0;
        if (row.connection !== "open" || !canSend) {
            continue;
        }
        const sentAt = row.hasSentFirstFrame ? lastSentAt.get(row.address) ?? 0 : 0;
        if (!row.hasPendingUpdate) {
            using ??= state.listUsingEntries();
        }
        const interval = row.hasPendingUpdate
            ? getUpdateIntervalMilliseconds(row.awaitsCapacity)
            : getHeartbeatIntervalMilliseconds(using?.has(row.incarnation ?? "") === true);
        const isSource = row.address === configurationSource;
        const isEvacuationDue = isNoticeDue(state.evacuations, row.evacuations);
        const isDue = row.pendingEnds.length > 0 || isEvacuationDue || isConfigurationDue(state, row) || isSource
            || row.sentCrashRevision < state.ownCrashRevision || state.now - sentAt >= interval;
        if (!isDue) {
            continue;
        }
        lastSentAt.set(row.address, state.now);
        worker ??= describeWorker(state);
        if (isSource) {
            state.configurationRequestedAt = state.now;
        }
        const frame = createFrame(state, row, worker, isSource);
        if (!row.hasSentFirstFrame && frame.ended.length > 0) {
            state.log("info", "ends repeated on a new connection", {
                address: row.address,
                entry: row.incarnation,
                ends: frame.ended.length,
            });
        }
        state.outputs.push({ kind: "frame", address: row.address, frame });
        state.entries.set(row.address, {
            ...row,
            hasSentFirstFrame: true,
            hasPendingUpdate: false,
            sentCrashRevision: state.crashRecords.revision,
            evacuations: isEvacuationDue ? state.evacuations : row.evacuations,
            pendingEnds: [],
            wantsConfiguration: row.wantsConfiguration && !isConfigurationDue(state, row),
        });
    }
}

function getHeartbeatIntervalMilliseconds(hasRuns: boolean): number {
    return hasRuns ? heartbeatIntervalMilliseconds : idleHeartbeatIntervalMilliseconds;
}

/** Tells whether the entry has asked for a configuration that the agent has. */
function isConfigurationDue(state: AgentState, row: EntryRow): boolean {
    return row.wantsConfiguration && (state.configuration?.version ?? 0) > row.configurationVersion;
}

function createFrame(
    state: AgentState,
    row: EntryRow,
    worker: WorkerStatus | undefined,
    isConfigurationRequested: boolean,
): AgentFrame {
    const { identity, configuration } = state;
    const isRetiring = row.retiringSince !== undefined;
    return {
        agent: identity.incarnation,
        instance: identity.instance,
        availabilityZone: identity.availabilityZone,
        sentAt: state.now,
        includedSequence: row.includedSequence,
        includedForMilliseconds: row.includedSequence === 0 ? 0 : Math.round(state.now - row.lastActivityAt),
        worker: worker === undefined || !isRetiring ? worker : { ...worker, acceptsTasks: false },
        ended: row.hasSentFirstFrame ? row.pendingEnds : listRecentEnds(state, row),
        openRuns: row.hasSentFirstFrame ? undefined : listOpenRuns(state, row),
        ...row.hasSentFirstFrame ? {} : { entry: row.incarnation },
        configuration: {
            version: state.configurationVersion,
            configuration: isConfigurationDue(state, row) ? configuration : undefined,
            isRequested: isConfigurationRequested,
        },
        evacuations: isNoticeDue(state.evacuations, row.evacuations) ? state.evacuations : undefined,
        crashes: state.crashRecords.listAfter(row.sentCrashRevision, state.now),
    };
}

function describeWorker(state: AgentState): WorkerStatus | undefined {
    const { worker } = state;
    if (worker === undefined) {
        return undefined;
    }
    return {
        service: worker.report.service,
        labels: worker.report.labels,
        capacity: worker.report.capacity,
        free: state.free,
        awaited: [...state.queuedOrders.values()].reduce(
            (sum, { order }) => addResources(sum, order.needs),
            noResources,
        ),
        acceptsTasks: acceptsTasks(state),
        isOnTrial: state.health.isOnTrial,
        speed: state.runSpeed.value,
        isolation: findIsolation(state),
        ...worker.isRestored ? { isRestored: true } : { latestReport: describeLatestReport(worker) },
    };
}

/** A worker that drains must not be used by the next process of this agent, so no report of it is named. */
function describeLatestReport({ report, capacityReportedAt }: WorkerRow): ReportInstant | undefined {
    if (capacityReportedAt === undefined || report.isDraining) {
        return undefined;
    }
    const { id, startedAt } = report;
    return { worker: id, workerClock: capacityReportedAt, ...startedAt === undefined ? {} : { startedAt } };
}

function listRecentEnds(state: AgentState, row: EntryRow): AgentFrame["ended"] {
    return row.incarnation === undefined ? [] : listUnconfirmedEnds(state, row.incarnation);
}

function listOpenRuns(state: AgentState, row: EntryRow): AgentFrame["openRuns"] {
    const running = [...state.runs.values()].filter(run => run.entry !== undefined && run.entry === row.incarnation);
    const queued = [...state.queuedOrders.values()].filter(({ entry }) => entry === row.incarnation);
    return [
        ...running.map(run => run.identity),
        ...queued.map(({ order }) => pickRunIdentity(order)),
    ];
}
