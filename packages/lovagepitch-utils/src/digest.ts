/**
 * Digests of JSON documents.
 */
import { createHash } from "node:crypto";

/**
 * Computes a digest of a JSON value; the order of object keys does not affect it.
 *
 * @param value - a JSON value
 * @returns a SHA-256 digest in base64url
 */
export function digestJson(value: unknown): string {
    return createHash("sha256").update(toCanonicalJson(value)).digest("base64url");
}

/**
 * Serializes a JSON value with sorted object keys.
 *
 * @param value - a JSON value
 * @returns JSON text that is equal for equal values
 */
export function toCanonicalJson(value: unknown): string {
    return JSON.stringify(value, (_key, item: unknown) => {
        if (typeof item !== "object" || item === null || Array.isArray(item)) {
            return item;
        }
        return Object.fromEntries(Object.entries(item).sort(([left], [right]) => left < right ? -1 : 1));
    });
}
