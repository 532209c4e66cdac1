/**
 * Configurations that one entry has asked the agent for and another entry can deliver.
 */
import type { AgentState } from "./agentState.js";

/** Interval between requests for a configuration, in milliseconds. */
const requestIntervalMilliseconds = 200;

/**
 * Finds the entry that the agent has to ask for its configuration now; one at a time, because it may be large.
 *
 * @param state - state of the agent
 * @returns address of the connected entry with the newest version, or undefined when there is nothing to ask for
 */
export function findConfigurationSource(state: AgentState): string | undefined {
    if (state.now - state.configurationRequestedAt < requestIntervalMilliseconds) {
        return undefined;
    }
    const rows = [...state.entries.values()].filter(row => row.connection === "open");
    const neededVersion = rows.filter(row => row.wantsConfiguration)
        .reduce((version, row) => Math.min(version, Math.max(row.configurationVersion, getVersion(state))), Infinity);
    let source: (typeof rows)[number] | undefined;
    for (const row of rows) {
        if (
            row.configurationVersion > neededVersion && row.configurationVersion > (source?.configurationVersion ?? 0)
        ) {
            source = row;
        }
    }
    return source?.address;
}

function getVersion(state: AgentState): number {
    return state.configuration?.version ?? 0;
}
