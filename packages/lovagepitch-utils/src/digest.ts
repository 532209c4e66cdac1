/**
 * Digests that tell two documents apart.
 */
import { createHash } from "node:crypto";

/**
 * Digests any JSON value; the order of object keys makes no difference.
 *
 * @param value - a JSON value
 * @returns a SHA-256 digest in base64url
 */
export function digestJson(value: unknown): string {
    return createHash("sha256").update(toCanonicalJson(value)).digest("base64url");
}

/**
 * Writes a JSON value with sorted keys.
 *
 * @param value - a JSON value
 * @returns its canonical text
 */
export function toCanonicalJson(value: unknown): string {
    return JSON.stringify(value, (_key, item: unknown) => {
        if (typeof item !== "object" || item === null || Array.isArray(item)) {
            return item;
        }
        return Object.fromEntries(Object.entries(item).sort(([left], [right]) => left < right ? -1 : 1));
    });
}
