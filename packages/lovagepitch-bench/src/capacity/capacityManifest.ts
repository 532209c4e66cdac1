/**
 * Manifest and jobs of the capacity measurements.
 */
import type { JobRequest } from "@lovagepitch/types/job";
import type { Manifest } from "@lovagepitch/types/manifest";

/** Service that every agent provides. */
export const capacityService = "alerts";
const capacityKind = "check";
const quota = { guaranteedSlots: 100, maximumWaitingTasks: 1_000_000 };
const deadlineMilliseconds = 60_000;

/**
 * Creates a manifest with one service and one kind.
 *
 * @param teams - number of teams
 * @param availabilityZones - number of availability zones
 * @returns the manifest
 */
export function createCapacityManifest(teams: number, availabilityZones: number): Manifest {
    const zones = Array.from({ length: availabilityZones }, (_unused, position) => `zone-${position + 1}`);
    return {
        availabilityZones: zones,
        teams: Array.from({ length: teams }, (_unused, position) => ({ name: `team-${position + 1}`, quota })),
        services: [{
            name: capacityService,
            kinds: [{
                name: capacityKind,
                availabilityZones: zones,
                maximumCores: 16,
                maximumMemoryMegabytes: 32_768,
                maximumDeadlineMilliseconds: 120_000,
                taskTimeoutMilliseconds: 60_000,
            }],
        }],
    };
}

/**
 * Creates a job with equal tasks.
 *
 * @param tasks - number of tasks
 * @param taskMilliseconds - run time of each task, in milliseconds
 * @param team - number of the team, from 1
 * @returns the job
 */
export function createCapacityJob(tasks: number, taskMilliseconds: number, team = 1): JobRequest {
    return {
        team: `team-${team}`,
        service: capacityService,
        kind: capacityKind,
        deadlineMilliseconds,
        idempotent: false,
        tasks: Array.from({ length: tasks }, (_unused, index) => ({
            payload: { milliseconds: taskMilliseconds, echo: index },
            cores: 1,
            memoryMegabytes: 256,
            expectedMilliseconds: taskMilliseconds,
        })),
    };
}
