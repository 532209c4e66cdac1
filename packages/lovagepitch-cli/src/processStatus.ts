/**
 * What a process tells of itself at `GET /status`.
 */

/** One process's own view. */
export interface ProcessStatus {
    readonly role: "entry" | "agent";
    /** IP number and port for the system's other processes. */
    readonly address: string;
    readonly availabilityZone: string;
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
    const fields = value as Readonly<Record<string, unknown>>;
    const { role, address, availabilityZone, configurationVersion, ready, storeHealthy } = fields;
    const hasTexts = typeof address === "string" && typeof availabilityZone === "string";
    const hasFlags = typeof ready === "boolean" && typeof storeHealthy === "boolean";
    if ((role !== "entry" && role !== "agent") || !hasTexts || !hasFlags || !Number.isInteger(configurationVersion)) {
        return undefined;
    }
    return { role, address, availabilityZone, configurationVersion: Number(configurationVersion), ready, storeHealthy };
}
