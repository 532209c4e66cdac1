/**
 * The deployment that the design must support, and the budgets of its nodes and of the platform's service.
 */

/** Sizes, rates and budgets of a deployment. */
export interface TargetDeployment {
    readonly agents: number;
    readonly startsPerSecond: number;
    readonly largestJobTasks: number;
    readonly teams: number;
    readonly availabilityZones: number;
    readonly regions: number;
    readonly configurationChangesPerDay: number;
    /** Time within which a configuration change must be in force everywhere, in seconds. */
    readonly configurationSeconds: number;
    readonly replacementsPerDay: number;
    /** Share of a core that lovagepitch may use on a node, from 0 to 1. */
    readonly controlCoreShare: number;
    readonly controlMemoryBytes: number;
    readonly controlBytesPerSecond: number;
    /** Lower end of the platform's "several hundred" writes per second. */
    readonly platformWritesPerSecond: number;
    readonly platformReadsPerSecond: number;
}

const megabyte = 1024 * 1024;

/** Size that the users expect within two years. */
export const targetDeployment: TargetDeployment = {
    agents: 1_300,
    startsPerSecond: 41_000,
    largestJobTasks: 820,
    teams: 78,
    availabilityZones: 7,
    regions: 2,
    configurationChangesPerDay: 940,
    configurationSeconds: 19,
    replacementsPerDay: 180,
    controlCoreShare: 0.03,
    controlMemoryBytes: 64 * megabyte,
    controlBytesPerSecond: 19_000,
    platformWritesPerSecond: 300,
    platformReadsPerSecond: 2_000,
};
