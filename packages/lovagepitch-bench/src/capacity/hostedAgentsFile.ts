/**
 * File with the settings of a process that hosts many agents.
 */
import type { AgentSettings } from "@lovagepitch/types/settings";

const workersPerRack = 3;

/** Content of the settings file. */
export interface HostedAgentsFile {
    /** Number of slots of each agent. */
    readonly slots: number;
    readonly agents: readonly AgentSettings[];
}

/**
 * Returns the name of a worker's rack.
 *
 * @param position - index of the worker
 * @returns the rack's name
 */
export function nameRack(position: number): string {
    return `rack-${Math.floor(position / workersPerRack) + 1}`;
}
