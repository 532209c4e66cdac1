/**
 * The status document that a process serves at `GET /status`.
 */

/** Status that a process reports about itself. */
export interface ProcessStatus {
    /** Configuration version in force; 0 before the first one. */
    readonly configurationVersion: number;
    /** True when the process accepts requests or tasks. */
    readonly ready: boolean;
    /** True when the platform answered the process's last request. */
    readonly storeHealthy: boolean;
}

/**
 * Parses a status document. Unknown fields are ignored, so that documents of newer processes can be read.
 *
 * @param value - a parsed JSON value
 * @returns the status, or undefined when the value is not a status document
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
