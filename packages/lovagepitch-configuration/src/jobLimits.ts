/**
 * Limits of a caller's job.
 */

/** Largest number of tasks and largest payloads of a job. */
export interface JobLimits {
    readonly maximumTasks: number;
    /** Largest nesting depth of objects and arrays within one payload. */
    readonly maximumPayloadDepth: number;
    /** Approximate largest size of one payload, in bytes of JSON text. */
    readonly maximumPayloadBytes: number;
}

/** Limits that all deployments use. */
export const defaultJobLimits: JobLimits = {
    maximumTasks: 820,
    maximumPayloadDepth: 32,
    maximumPayloadBytes: 1024 * 1024,
};
