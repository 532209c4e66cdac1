/**
 * Requests and answers of the platform's HTTP interface.
 */
import { z } from "zod";

/** Most writes that one transaction may hold. */
export const maximumTransactionWrites = 1000;
/** Most bytes of a transaction's text, and of the text of a row or a listing. */
export const maximumTableBodyBytes = 16 * 1024 * 1024;
/** Most bytes of an object. */
export const maximumObjectBytes = 128 * 1024 * 1024;

/** HTTP status codes that the interface gives a meaning. */
export const platformStatus = {
    ok: 200,
    notFound: 404,
    conflict: 409,
    tooManyRequests: 429,
    firstServerError: 500,
    unavailable: 503,
} as const;

const tableRowSchema = z.object({ key: z.string(), value: z.unknown(), etag: z.string() });

/** Answer to the reading of a row. */
export const rowResponseSchema = z.object({ row: tableRowSchema });

/** Answer to the reading of what does not exist; other answers with status 404 come from elsewhere. */
export const notFoundResponseSchema = z.object({ absent: z.literal(true) });

/** Answer to a listing. */
export const listingResponseSchema = z.object({ rows: z.array(tableRowSchema).readonly() });

/** Answer to a transaction that was written. */
export const writeResponseSchema = z.object({ etags: z.array(z.string()).readonly() });

/** Answer to a transaction whose conditions did not hold. */
export const conflictResponseSchema = z.object({ conflictingKeys: z.array(z.string()).readonly() });

const writeConditionSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("etag"), etag: z.string() }),
    z.strictObject({ kind: z.literal("absent") }),
    z.strictObject({ kind: z.literal("always") }),
]);

/** A transaction; a write without a value deletes its row. */
export const transactionSchema = z.strictObject({
    writes: z.array(z.strictObject({
        key: z.string().min(1),
        condition: writeConditionSchema,
        value: z.unknown().optional(),
    })).min(1).max(maximumTransactionWrites).readonly(),
});

/**
 * Names a row's resource.
 *
 * @param key - the row's key
 * @returns the path of the resource
 */
export function rowPath(key: string): string {
    return `/rows/${encodeURIComponent(key)}`;
}

/**
 * Names a listing's resource.
 *
 * @param prefix - start of the keys
 * @returns the path and query of the resource
 */
export function listingPath(prefix: string): string {
    return `/rows?prefix=${encodeURIComponent(prefix)}`;
}

/**
 * Names an object's resource.
 *
 * @param name - the object's name
 * @returns the path of the resource
 */
export function objectPath(name: string): string {
    return `/objects/${encodeURIComponent(name)}`;
}

/** Path that transactions are posted to. */
export const transactionPath = "/transactions";
