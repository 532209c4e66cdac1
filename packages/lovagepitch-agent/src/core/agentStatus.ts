/**
 * What an agent tells of itself.
 */
import type { AgentTables } from "./entities/agentTables.js";
import type { BackendServerRow } from "./entities/rows.js";
import type { AgentState } from "./lifecycles/agentLifecycle.js";

/** The state of an agent, for its operator. */
export interface AgentStatus {
    readonly state: AgentState;
    readonly backendServer: BackendServerRow["state"] | "absent";
    readonly slots: number;
    readonly runningTasks: number;
    readonly standingByTasks: number;
    /** 0 before a manifest is in force. */
    readonly configurationVersion: number;
    /** 0 until the registration row is durable. */
    readonly registrationNumber: number;
    readonly suspect: boolean;
    readonly ledgerSubmissions: number;
    readonly ledgerBytes: number;
    /** Submissions with outcomes that their receiver has not acknowledged. */
    readonly undeliveredSubmissions: number;
    readonly bids: number;
    readonly entries: number;
}

/**
 * Reads an agent's state off its tables.
 *
 * @param tables - the agent's tables
 * @param slots - slots that can be used now
 * @param isSuspect - the backend server failed several submissions in a row
 * @returns the state
 */
export function createAgentStatus(tables: AgentTables, slots: number, isSuspect: boolean): AgentStatus {
    return {
        state: tables.agentState,
        backendServer: tables.backendServer?.state ?? "absent",
        slots,
        runningTasks: tables.runningTasks,
        standingByTasks: tables.standingBy.size,
        configurationVersion: tables.configurationVersion,
        registrationNumber: tables.registration.number ?? 0,
        suspect: isSuspect,
        ledgerSubmissions: tables.submissions.size,
        ledgerBytes: tables.ledgerBytes,
        undeliveredSubmissions: tables.deliveries.size,
        bids: tables.bids.size,
        entries: tables.entries.size,
    };
}
