/**
 * Frames to agents: orders, heartbeats, addresses of entries, invitations, and the configuration if an agent asks for it.
 */
import type { EntryFrame } from "../model/frames.js";
import { heartbeatIntervalMilliseconds, idleHeartbeatIntervalMilliseconds } from "../model/timing.js";
import { isNoticeDue } from "../model/zoneEvacuations.js";
import { isConfigurationRequestDue } from "./configurationRelay.js";
import type { AgentRow, EntryState } from "./entryState.js";
import { estimateStartBytes } from "./linkAllowance.js";

/**
 * Sends each agent its pending orders, the number of a newer configuration, or a heartbeat when one is due. Frames
 * without starts are sent first, because they are short and renew leases.
 *
 * @param state - state of the entry
 */
export function sendFrames(state: EntryState): void {
    const due = [...state.agents.values()].filter(row => row.connection !== undefined && isFrameDue(state, row));
    const hasStarts = (row: AgentRow): boolean => (state.pendingOrders.get(row.agent)?.starts.length ?? 0) > 0;
    const ordered = due.some(hasStarts) ? [...due.filter(row => !hasStarts(row)), ...due.filter(hasStarts)] : due;
    for (const row of ordered) {
        if (row.connection === undefined) {
            continue;
        }
        const frame = createFrame(state, row);
        state.pendingOrders.delete(row.agent);
        state.agents.set(row.agent, {
            ...row,
            lastSentSequence: frame.sequence,
            lastFrameSentAt: state.now,
            configurationVersion: Math.max(frame.configuration.version, row.configurationVersion),
            evacuations: frame.evacuations ?? row.evacuations,
            wantsConfiguration: false,
            sentEntriesRevision: state.knownEntriesRevision,
            sentCrashRevision: state.crashRecords.revision,
            knowsOfWaitingTasks: hasWaitingTasks(state),
        });
        state.linkBacklog.recordSent(row.agent, frame.sequence, estimateStartBytes(frame.starts), state.now);
        if (frame.configuration.isRequested === true) {
            state.configurationRequestedAt = state.now;
        }
        state.outputs.push({ kind: "frame", connection: row.connection, frame });
    }
}

function isFrameDue(state: EntryState, row: AgentRow): boolean {
    return state.pendingOrders.has(row.agent)
        || state.now - row.lastFrameSentAt >= getHeartbeatIntervalMilliseconds(row)
        || (state.configuration?.version ?? 0) > row.configurationVersion
        || row.wantsConfiguration
        || isNoticeDue(state.evacuations, row.evacuations)
        || isConfigurationRequestDue(state, row)
        || (hasWaitingTasks(state) && !row.knowsOfWaitingTasks);
}

/**
 * Tells whether tasks wait for workers, or for agents to report that orders have arrived.
 *
 * @param state - state of the entry
 * @returns true when the latest placement has left tasks
 */
export function hasWaitingTasks(state: EntryState): boolean {
    return state.unplacedTasks > 0 || state.heldTasks > 0;
}

function getHeartbeatIntervalMilliseconds(row: AgentRow): number {
    return row.openRunCount > 0 ? heartbeatIntervalMilliseconds : idleHeartbeatIntervalMilliseconds;
}

function createFrame(state: EntryState, row: AgentRow): EntryFrame {
    const orders = state.pendingOrders.get(row.agent);
    const entries = row.sentEntriesRevision < state.knownEntriesRevision ? [...state.knownEntries.values()] : [];
    return {
        entry: state.identity.incarnation,
        sequence: row.lastSentSequence + 1,
        newestSentAt: row.newestSentAt,
        starts: orders?.starts ?? [],
        stops: orders?.stops ?? [],
        entryAddresses: entries.map(entry => entry.address),
        entryZones: entries.map(entry => entry.availabilityZone ?? ""),
        awaitsCapacity: hasWaitingTasks(state),
        invitations: orders?.invitations ?? [],
        configuration: {
            version: state.configuration?.version ?? 0,
            configuration: row.wantsConfiguration ? state.configuration : undefined,
            isRequested: isConfigurationRequestDue(state, row),
        },
        evacuations: isNoticeDue(state.evacuations, row.evacuations) ? state.evacuations : undefined,
        reportedCapacity: row.worker?.isRestored === true ? state.reportedCapacities.find(row.instance) : undefined,
        crashes: state.crashRecords.listAfter(row.sentCrashRevision, state.now),
    };
}
