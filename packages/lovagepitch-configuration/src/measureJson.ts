/**
 * Bounded measurement of the depth and size of JSON values.
 */

/** Result of a measurement. */
export type JsonMeasure = "fits" | "too-deep" | "too-large" | "not-json";

/** Bounds of a measurement. */
export interface JsonBounds {
    readonly maximumDepth: number;
    /** Approximate largest size, in bytes of JSON text. */
    readonly maximumBytes: number;
}

/** Bytes counted for a number, a boolean, null or the brackets of a container. */
const simpleValueBytes = 4;
/** Bytes counted for the quotation marks and the separator of a string. */
const stringOverheadBytes = 3;

interface PendingValue {
    readonly value: unknown;
    readonly depth: number;
}

/**
 * Measures a value without recursion. It stops at the first exceeded bound, so that malicious input costs little time.
 *
 * @param value - any value
 * @param bounds - largest depth and size
 * @returns "fits" when the value is JSON within the bounds, else the first violation
 */
export function measureJson(value: unknown, bounds: JsonBounds): JsonMeasure {
    const pending: PendingValue[] = [{ value, depth: 0 }];
    let bytes = 0;
    for (let visit = pending.pop(); visit !== undefined; visit = pending.pop()) {
        const size = estimateBytes(visit.value);
        if (size === undefined) {
            return "not-json";
        }
        bytes += size;
        const children = listChildren(visit.value);
        if (children.length > 0 && visit.depth >= bounds.maximumDepth) {
            return "too-deep";
        }
        if (bytes > bounds.maximumBytes) {
            return "too-large";
        }
        for (const child of children) {
            pending.push({ value: child, depth: visit.depth + 1 });
        }
    }
    return "fits";
}

function estimateBytes(value: unknown): number | undefined {
    switch (typeof value) {
        case "string":
            return Buffer.byteLength(value) + stringOverheadBytes;
        case "number":
            return Number.isFinite(value) ? simpleValueBytes : undefined;
        case "boolean":
            return simpleValueBytes;
        case "object":
            return value === null ? simpleValueBytes : estimateContainerBytes(value);
        default:
            return undefined;
    }
}

function estimateContainerBytes(value: object): number | undefined {
    if (Array.isArray(value)) {
        return simpleValueBytes;
    }
    const prototype: unknown = Object.getPrototypeOf(value);
    if (prototype !== Object.prototype && prototype !== null) {
        return undefined;
    }
    let bytes = simpleValueBytes;
    for (const name of Object.keys(value)) {
        bytes += Buffer.byteLength(name) + stringOverheadBytes;
    }
    return bytes;
}

function listChildren(value: unknown): readonly unknown[] {
    if (Array.isArray(value)) {
        return value;
    }
    return typeof value === "object" && value !== null ? Object.values(value) : [];
}
