/**
 * Limits on a caller's job.
 */

/** What a job may hold at most. */
export interface JobLimits {
    readonly maximumTasks: number;
    /** Nesting of objects and arrays within one payload. */
    readonly maximumPayloadDepth: number;
    /** Size of one payload, in bytes of JSON text, approximately. */
    readonly maximumPayloadBytes: number;
}

/** Limits of every deployment. */
export const defaultJobLimits: JobLimits = {
    maximumTasks: 820,
    maximumPayloadDepth: 32,
    maximumPayloadBytes: 1024 * 1024,
};
