/**
 * Memory estimates of JSON values, for limits on memory usage.
 */
import type { JsonValue } from "@lovagepitch/types/job";

const bytesPerCharacter = 2;
const overheadBytesPerValue = 16;

/**
 * Estimates the memory that a JSON value occupies.
 *
 * @param value - value that is kept in memory
 * @returns the estimate, in bytes
 */
export function estimateJsonBytes(value: JsonValue): number {
    let bytes = 0;
    // An explicit stack, because recursion would overflow the call stack on a deeply nested value.
    const pending: JsonValue[] = [value];
    while (pending.length > 0) {
        const item = pending.pop() as JsonValue;
        bytes += overheadBytesPerValue;
        if (typeof item === "string") {
            bytes += item.length * bytesPerCharacter;
        }
        else if (Array.isArray(item)) {
            for (const element of item as readonly JsonValue[]) {
                pending.push(element);
            }
        }
        else if (typeof item === "object" && item) {
            for (const [name, element] of Object.entries(item)) {
                bytes += name.length * bytesPerCharacter;
                pending.push(element);
            }
        }
    }
    return bytes;
}
