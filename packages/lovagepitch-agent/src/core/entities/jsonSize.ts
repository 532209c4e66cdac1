/**
 * Sizes of JSON values, for bounds on memory.
 */
import type { JsonValue } from "@lovagepitch/types/job";

const bytesPerCharacter = 2;
const bytesPerValue = 16;

/**
 * Estimates the memory that a value takes.
 *
 * @param value - the value
 * @returns an estimate in bytes
 */
export function estimateJsonBytes(value: JsonValue): number {
    let bytes = 0;
    // An explicit stack stands a deeply nested value that recursion would not.
    const rest: JsonValue[] = [value];
    while (rest.length > 0) {
        const item = rest.pop() as JsonValue;
        bytes += bytesPerValue;
        if (typeof item === "string") {
            bytes += item.length * bytesPerCharacter;
        }
        else if (Array.isArray(item)) {
            for (const element of item as readonly JsonValue[]) {
                rest.push(element);
            }
        }
        else if (typeof item === "object" && item) {
            for (const [name, element] of Object.entries(item)) {
                bytes += name.length * bytesPerCharacter;
                rest.push(element);
            }
        }
    }
    return bytes;
}
