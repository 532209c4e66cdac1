/**
 * A process of a tested deployment: its core, and whether it runs.
 */
import type { Core } from "@lovagepitch/utils/core";

/** A process. */
export interface CoreHost<Input, Output> {
    core: Core<Input, Output>;
    isRunning: boolean;
    /** Frozen processes keep their inputs until they wake. */
    isFrozen: boolean;
    isPartitioned: boolean;
    incarnation: number;
    isTickQueued: boolean;
}

/**
 * Makes a running process.
 *
 * @param core - its decisions
 * @returns the process
 */
export function createCoreHost<Input, Output>(core: Core<Input, Output>): CoreHost<Input, Output> {
    return {
        core,
        isRunning: true,
        isFrozen: false,
        isPartitioned: false,
        incarnation: 0,
        isTickQueued: false,
    };
}
