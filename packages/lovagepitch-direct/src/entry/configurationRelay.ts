/**
 * Versions of the configuration: each entry reads them from the store; one that cannot gets them through agents from
 * another entry.
 */
import type { DispatchConfiguration } from "../model/dispatchConfiguration.js";
import type { AgentRow, EntryState } from "./entryState.js";

/** Time for which an entry waits for the store after an agent has named a newer version, in milliseconds. */
const storeWaitMilliseconds = 400;

/** Interval between requests for the newer version to agents, in milliseconds. */
const requestIntervalMilliseconds = 200;

/**
 * Applies a version of the configuration; a version that is not newer than the one in force is ignored.
 *
 * @param state - state of the entry
 * @param configuration - received version; undefined when the message carried none
 * @param source - sender of the version
 */
export function receiveConfiguration(
    state: EntryState,
    configuration: DispatchConfiguration | undefined,
    source: "store" | "agent",
): void {
    if (configuration === undefined || configuration.version <= (state.configuration?.version ?? 0)) {
        return;
    }
    state.formerRoutes.replace(state.configuration?.routes ?? [], configuration.routes);
    state.configuration = configuration;
    state.newerConfigurationSince = undefined;
    state.isPlacementDue = true;
    state.log("info", "configuration in force", {
        version: configuration.version,
        routes: configuration.routes.length,
        source,
    });
}

/**
 * Tells whether the next frame to an agent has to ask for a newer configuration.
 *
 * @param state - state of the entry
 * @param row - row of the agent
 * @returns true when the agent has named a newer version and the store has not delivered one in time
 */
export function isConfigurationRequestDue(state: EntryState, row: AgentRow): boolean {
    return row.configurationVersion > (state.configuration?.version ?? 0)
        && state.newerConfigurationSince !== undefined
        && state.now - state.newerConfigurationSince >= storeWaitMilliseconds
        && state.now - state.configurationRequestedAt >= requestIntervalMilliseconds;
}

/**
 * Records the version that an agent has named.
 *
 * @param state - state of the entry
 * @param version - newest version that the agent knows of
 */
export function recordNamedVersion(state: EntryState, version: number): void {
    if (version > (state.configuration?.version ?? 0)) {
        state.newerConfigurationSince ??= state.now;
    }
}
