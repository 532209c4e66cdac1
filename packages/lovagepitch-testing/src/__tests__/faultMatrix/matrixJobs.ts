/**
 * Jobs and manifests of the fault matrix.
 */
import type { JobRequest } from "@lovagepitch/types/job";
import type { Manifest } from "@lovagepitch/types/manifest";

/** Availability zones of the matrix's deployment. */
export const matrixZones = ["kolonnawa", "dehiwala"] as const;

let createdJobCount = 0;

/** Properties in which a job of the matrix may differ from the default job. */
export interface MatrixJobOptions {
    readonly tasks?: number;
    readonly milliseconds?: number;
    readonly expectedMilliseconds?: number;
    readonly deadlineMilliseconds?: number;
    readonly kind?: string;
    readonly cores?: number;
}

/**
 * Creates a job whose tasks have echo values of their own, so that no other job's output can be mistaken for theirs.
 *
 * @param options - differences from the default of three tasks of 200 ms
 * @returns the job request
 */
export function createMatrixJob(options: MatrixJobOptions = {}): JobRequest {
    createdJobCount += 1;
    const { tasks = 3, milliseconds = 200, expectedMilliseconds = 200, cores = 1 } = options;
    const name = `job-${createdJobCount}`;
    return {
        team: "growers",
        service: "alerts",
        kind: options.kind ?? "alert",
        deadlineMilliseconds: options.deadlineMilliseconds ?? 8000,
        idempotent: false,
        tasks: Array.from({ length: tasks }, (_unused, index) => ({
            payload: { milliseconds, echo: `${name}/${index}` },
            cores,
            memoryMegabytes: 100,
            expectedMilliseconds,
        })),
    };
}

/**
 * Creates a manifest with the kinds "alert" and "nowhere"; no agent runs in the zone of the latter.
 *
 * @param zones - availability zones where the kind "alert" may run
 * @returns the manifest, without a version
 */
export function createMatrixManifest(zones: readonly string[] = matrixZones): Manifest {
    const limits = {
        maximumCores: 16,
        maximumMemoryMegabytes: 32_768,
        maximumDeadlineMilliseconds: 60_000,
        taskTimeoutMilliseconds: 20_000,
    };
    return {
        availabilityZones: [...matrixZones, "maharagama"],
        teams: [{ name: "growers", quota: { guaranteedSlots: 8, maximumWaitingTasks: 1000 } }],
        services: [{
            name: "alerts",
            kinds: [
                { name: "alert", availabilityZones: zones, ...limits },
                { name: "nowhere", availabilityZones: ["maharagama"], ...limits },
            ],
        }],
    };
}
