/**
 * Status of an agent.
 */
import type { AgentTables } from "./entities/agentTables.js";
import type { BackendServerRow, EntryRow } from "./entities/rows.js";
import type { AgentState } from "./lifecycles/agentLifecycle.js";

/** Status of an agent, as `/status` returns it and the metrics export it. */
export interface AgentStatus {
    readonly state: AgentState;
    readonly backendServer: BackendServerRow["state"] | "absent";
    readonly slots: number;
    readonly runningTasks: number;
    readonly standingByTasks: number;
    /** Version of the manifest in force; 0 without a manifest. */
    readonly configurationVersion: number;
    /** Number of the agent's registration row; 0 until the row is durable. */
    readonly registrationNumber: number;
    readonly suspect: boolean;
    readonly ledgerSubmissions: number;
    readonly ledgerBytes: number;
    /** Submissions with outcomes that a receiver has not acknowledged. */
    readonly undeliveredSubmissions: number;
    readonly bids: number;
    readonly entries: number;
    /** Reachable entries that have not confirmed the agent's announcement; they place no tasks on it yet. */
    readonly unconfirmedEntries: number;
    /** True when the entries have been read since the registration and all that are reachable have confirmed the announcement. */
    readonly isKnownToEntries: boolean;
}

/**
 * Creates an agent's status.
 *
 * @param tables - tables that the status is read from
 * @param slots - slots that the backend server provides at present
 * @param isSuspect - whether the backend server failed tasks of several submissions in a row
 * @returns the status
 */
export function createAgentStatus(tables: AgentTables, slots: number, isSuspect: boolean): AgentStatus {
    const unconfirmedEntries = [...tables.entries.values()].filter(isUnconfirmed).length;
    return {
        state: tables.agentState,
        backendServer: tables.backendServer?.state ?? "absent",
        slots,
        runningTasks: tables.runningTasks,
        standingByTasks: tables.queuedTasks.size,
        configurationVersion: tables.configurationVersion,
        registrationNumber: tables.registration.number ?? 0,
        suspect: isSuspect,
        ledgerSubmissions: tables.submissions.size,
        ledgerBytes: tables.ledgerBytes,
        undeliveredSubmissions: tables.deliveries.size,
        bids: tables.bids.size,
        entries: tables.entries.size,
        unconfirmedEntries,
        isKnownToEntries: tables.hasReadEntries && tables.entries.size > 0 && unconfirmedEntries === 0,
    };
}

function isUnconfirmed(entry: EntryRow): boolean {
    const isAnnounced = entry.announcedFingerprint !== undefined && entry.nextAnnouncementAtMilliseconds === undefined;
    return entry.unreachableSinceMilliseconds === undefined && !isAnnounced;
}
