/**
 * Job mixes of the users' deployments, with rates, sizes and priorities from their site files.
 */

/** Arrival rate, size and priority of one kind of job. */
export interface JobKind {
    readonly name: string;
    /** Priority of the jobs; 0 is the most urgent. */
    readonly priority: number;
    readonly jobsPerSecond: number;
    /** Mean duration of a task, in milliseconds. */
    readonly meanTaskMilliseconds: number;
    readonly maximumTaskMilliseconds: number;
    /** Mean number of tasks of a job. */
    readonly meanTaskCount: number;
    readonly maximumTaskCount: number;
}

/** Rates, sizes and priorities from the users' site files, for eleven workers of 16 cores. */
export const defaultJobKinds: readonly JobKind[] = [
    {
        name: "urgent",
        priority: 0,
        jobsPerSecond: 37.8,
        meanTaskMilliseconds: 60,
        maximumTaskMilliseconds: 240,
        meanTaskCount: 8,
        maximumTaskCount: 32,
    },
    {
        name: "usual",
        priority: 1,
        jobsPerSecond: 110,
        meanTaskMilliseconds: 200,
        maximumTaskMilliseconds: 800,
        meanTaskCount: 2,
        maximumTaskCount: 8,
    },
    {
        name: "long",
        priority: 2,
        jobsPerSecond: 6.9,
        meanTaskMilliseconds: 900,
        maximumTaskMilliseconds: 3600,
        meanTaskCount: 4,
        maximumTaskCount: 16,
    },
];

/** Mix of a deployment whose callers compete for room, for 73 workers of 16 cores, a third of them half as large again. */
export const competingJobKinds: readonly JobKind[] = [
    {
        name: "urgent",
        priority: 0,
        jobsPerSecond: 144,
        meanTaskMilliseconds: 85.7,
        maximumTaskMilliseconds: 900,
        meanTaskCount: 8,
        maximumTaskCount: 32,
    },
    {
        name: "usual",
        priority: 1,
        jobsPerSecond: 420,
        meanTaskMilliseconds: 286,
        maximumTaskMilliseconds: 3000,
        meanTaskCount: 2,
        maximumTaskCount: 8,
    },
    {
        name: "long",
        priority: 2,
        jobsPerSecond: 26.3,
        meanTaskMilliseconds: 1286,
        maximumTaskMilliseconds: 13_500,
        meanTaskCount: 4,
        maximumTaskCount: 16,
    },
];

/** Mix of a deployment with uneven demand and workers, for 54 workers of 16 cores, a third of them half as large again. */
export const unevenJobKinds: readonly JobKind[] = [
    {
        name: "urgent",
        priority: 0,
        jobsPerSecond: 127,
        meanTaskMilliseconds: 72.9,
        maximumTaskMilliseconds: 770,
        meanTaskCount: 8,
        maximumTaskCount: 32,
    },
    {
        name: "usual",
        priority: 1,
        jobsPerSecond: 369,
        meanTaskMilliseconds: 243,
        maximumTaskMilliseconds: 2570,
        meanTaskCount: 2,
        maximumTaskCount: 8,
    },
    {
        name: "long",
        priority: 2,
        jobsPerSecond: 23.1,
        meanTaskMilliseconds: 1086,
        maximumTaskMilliseconds: 11_600,
        meanTaskCount: 4,
        maximumTaskCount: 16,
    },
];
