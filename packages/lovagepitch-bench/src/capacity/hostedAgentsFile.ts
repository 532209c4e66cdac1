/**
 * What a process that hosts many agents is told.
 */
import type { AgentSettings } from "@lovagepitch/types/settings";

const workersPerRack = 3;

/** Content of the file. */
export interface HostedAgentsFile {
    /** Slots of each agent. */
    readonly slots: number;
    readonly agents: readonly AgentSettings[];
}

/**
 * Names the rack of a worker.
 *
 * @param position - position of the worker
 * @returns the rack's name
 */
export function nameRack(position: number): string {
    return `rack-${Math.floor(position / workersPerRack) + 1}`;
}
