/**
 * Requests and responses of the platform's HTTP API.
 */
import { listOf } from "@lovagepitch/utils/validateValue";
import { z } from "zod";

/** Largest number of writes in one transaction. */
export const maximumTransactionWrites = 1000;
/** Largest body of a transaction, a row or a listing. */
export const maximumTableBodyBytes = 16 * 1024 * 1024;
/** Largest size of an object. */
export const maximumObjectBytes = 128 * 1024 * 1024;

/** HTTP status codes with a meaning in the API. */
export const platformStatus = {
    ok: 200,
    notFound: 404,
    conflict: 409,
    tooManyRequests: 429,
    firstServerError: 500,
    unavailable: 503,
} as const;

const tableRowSchema = z.object({ key: z.string(), value: z.unknown(), etag: z.string() });

/** Response to the read of a row. */
export const rowResponseSchema = z.object({ row: tableRowSchema });

/** Response to the read of a missing row or object; a 404 without this body does not come from the platform. */
export const notFoundResponseSchema = z.object({ absent: z.literal(true) });

/** Response to a listing. */
export const listingResponseSchema = z.object({ rows: listOf(tableRowSchema) });

/** Response to a committed transaction. */
export const writeResponseSchema = z.object({ etags: listOf(z.string()) });

/** Response to a transaction whose conditions did not hold. */
export const conflictResponseSchema = z.object({ conflictingKeys: listOf(z.string()) });

const writeConditionSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("etag"), etag: z.string() }),
    z.strictObject({ kind: z.literal("absent") }),
    z.strictObject({ kind: z.literal("always") }),
]);

/** A transaction; a write without a value deletes its row. */
export const transactionSchema = z.strictObject({
    writes: listOf(z.strictObject({
        key: z.string().min(1),
        condition: writeConditionSchema,
        value: z.unknown().optional(),
    })).check(z.minLength(1), z.maxLength(maximumTransactionWrites)),
});

/**
 * Creates the path of a row.
 *
 * @param key - the row's key
 * @returns the path of the resource
 */
export function createRowPath(key: string): string {
    return `/rows/${encodeURIComponent(key)}`;
}

/**
 * Creates the path of a listing.
 *
 * @param prefix - prefix of the keys
 * @returns the path and query of the resource
 */
export function createListingPath(prefix: string): string {
    return `/rows?prefix=${encodeURIComponent(prefix)}`;
}

/**
 * Creates the path of an object.
 *
 * @param name - the object's name
 * @returns the path of the resource
 */
export function createObjectPath(name: string): string {
    return `/objects/${encodeURIComponent(name)}`;
}

/** Path that transactions are posted to. */
export const transactionPath = "/transactions";
