/**
 * Simulated process of an entry or agent of direct jobs.
 */
import type { Core } from "@lovagepitch/utils/core";
import type { BoundedProcessor } from "./boundedProcessor.js";

/** The core of a simulated process and the state of that process. */
export interface CoreHost<Input, Output> {
    core: Core<Input, Output>;
    isRunning: boolean;
    /** A frozen process does not tick; its inputs are processed after it resumes. */
    isFrozen: boolean;
    /** Attempts to open a connection to or from a partitioned process get no response. */
    isPartitioned: boolean;
    incarnation: number;
    isTickQueued: boolean;
    /** Processor that its ticks take time of; undefined when they take none. */
    processor?: BoundedProcessor | undefined;
}

/**
 * Creates a running process.
 *
 * @param core - core that the process ticks
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
