/**
 * Options of a simulated deployment for direct jobs.
 */
import type { RunIdentity } from "@lovagepitch/direct/model/frames";
import type { EntryPolicies } from "@lovagepitch/direct/policies/entryPolicies";

/** Size and seed of a deployment. */
export interface DirectDeploymentOptions {
    /** Number of entries. */
    readonly entries: number;
    /** Number of workers; each has one agent. */
    readonly workers: number;
    /** Number of availability zones, among which entries and workers take turns; 1 by default. */
    readonly zones?: number;
    /** Capacity of each worker, in thousandths of a core. */
    readonly milliCores: number;
    /** Processor of each entry, in thousandths of a core, among which the entries take turns; ticks take no time by default. */
    readonly entryMilliCores?: readonly number[];
    /** Kinds of workers, among which the workers take turns; one kind of normal size and speed by default. */
    readonly workerKinds?: readonly WorkerKind[];
    /** Creates the policies of an entry; those without further settings by default. */
    readonly createPolicies?: () => EntryPolicies;
    /** Gives the duration of a run on a healthy worker, in milliseconds. */
    readonly getTaskDurationMilliseconds: (run: RunIdentity) => number;
    /** Gives the progress at which a run crashes its worker, in milliseconds; no run does so by default. */
    readonly getCrashMilliseconds?: (run: RunIdentity) => number | undefined;
    /** Rate of the workers' clocks; 1 by default. */
    readonly workerClockRate?: number;
    readonly seed: number;
}

/** A kind of workers in a deployment. */
export interface WorkerKind {
    /** Label that workers of the kind report. */
    readonly label: string;
    /** Factor by which `milliCores` of the deployment is multiplied. */
    readonly size: number;
    /** Factor by which tasks run faster than at normal speed. */
    readonly speed: number;
}
