/**
 * Jobs and the manifest of the fault matrix.
 */
import type { JobRequest } from "@lovagepitch/types/job";
import type { Manifest } from "@lovagepitch/types/manifest";

/** Zones of the matrix's deployment. */
export const matrixZones = ["kolonnawa", "dehiwala"] as const;

let jobs = 0;

/** What a job of the matrix may differ in. */
export interface MatrixJobOptions {
    readonly tasks?: number;
    readonly milliseconds?: number;
    readonly expectedMilliseconds?: number;
    readonly deadlineMilliseconds?: number;
    readonly kind?: string;
    readonly cores?: number;
}

/**
 * Makes a job whose tasks nobody else's answers can be taken for.
 *
 * @param options - what differs from three tasks of 200 ms
 * @returns the job
 */
export function createMatrixJob(options: MatrixJobOptions = {}): JobRequest {
    jobs += 1;
    const { tasks = 3, milliseconds = 200, expectedMilliseconds = 200, cores = 1 } = options;
    const name = `job-${jobs}`;
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
 * Makes a manifest.
 *
 * @param zones - zones where the kind "alert" may run
 * @returns the manifest
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
