/**
 * Bounded measurement of JSON values.
 */

/** How a measurement ended. */
export type JsonMeasure = "fits" | "too-deep" | "too-large" | "not-json";

/** Bounds of a measurement. */
export interface JsonBounds {
    readonly maximumDepth: number;
    /** Bytes of JSON text, approximately. */
    readonly maximumBytes: number;
}

/** Bytes counted for a number, a boolean, null, or the brackets of a container. */
const bytesOfSimpleValue = 4;
/** Quotation marks and a separator. */
const bytesAroundText = 3;

interface Visit {
    readonly value: unknown;
    readonly depth: number;
}

/**
 * Measures a value without recursion; it stops at the first bound that is passed, so that hostile input is cheap.
 *
 * @param value - any value
 * @param bounds - the bounds
 * @returns whether the value is JSON within the bounds
 */
export function measureJson(value: unknown, bounds: JsonBounds): JsonMeasure {
    const pending: Visit[] = [{ value, depth: 0 }];
    let bytes = 0;
    for (let visit = pending.pop(); visit !== undefined; visit = pending.pop()) {
        const size = sizeOf(visit.value);
        if (size === undefined) {
            return "not-json";
        }
        bytes += size;
        const children = childrenOf(visit.value);
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

function sizeOf(value: unknown): number | undefined {
    switch (typeof value) {
        case "string":
            return Buffer.byteLength(value) + bytesAroundText;
        case "number":
            return Number.isFinite(value) ? bytesOfSimpleValue : undefined;
        case "boolean":
            return bytesOfSimpleValue;
        case "object":
            return value === null ? bytesOfSimpleValue : sizeOfContainer(value);
        default:
            return undefined;
    }
}

function sizeOfContainer(value: object): number | undefined {
    if (Array.isArray(value)) {
        return bytesOfSimpleValue;
    }
    const prototype: unknown = Object.getPrototypeOf(value);
    if (prototype !== Object.prototype && prototype !== null) {
        return undefined;
    }
    let bytes = bytesOfSimpleValue;
    for (const name of Object.keys(value)) {
        bytes += Buffer.byteLength(name) + bytesAroundText;
    }
    return bytes;
}

function childrenOf(value: unknown): readonly unknown[] {
    if (Array.isArray(value)) {
        return value;
    }
    return typeof value === "object" && value !== null ? Object.values(value) : [];
}
