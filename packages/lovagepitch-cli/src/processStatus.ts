/**
 * What a process tells of itself at `GET /status`.
 */

/** One process's own view. */
export interface ProcessStatus {
    /** Configuration version in force; 0 before there is one. */
    readonly configurationVersion: number;
    /** It takes requests or tasks. */
    readonly ready: boolean;
    /** Its last request to the platform was answered. */
    readonly storeHealthy: boolean;
}

/**
 * Reads a status document; further fields are ignored, so that newer processes can be asked.
 *
 * @param value - any JSON value
 * @returns the status, or undefined when the value is none
 */
export function parseProcessStatus(value: unknown): ProcessStatus | undefined {
    if (typeof value !== "object" || value === null) {
        return undefined;
    }
    const { configurationVersion, ready, storeHealthy } = value as Readonly<Record<string, unknown>>;
    if (
        !Number.isSafeInteger(configurationVersion) || typeof ready !== "boolean" || typeof storeHealthy !== "boolean"
    ) {
        return undefined;
    }
    return { configurationVersion: Number(configurationVersion), ready, storeHealthy };
}
