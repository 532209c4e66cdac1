/**
 * Interface of the platform's transactional table.
 */
import type { Result } from "@lovagepitch/utils/result";
import type { PlatformError } from "./platformError.js";

/** A row and its current ETag. */
export interface TableRow {
    readonly key: string;
    readonly value: unknown;
    readonly etag: string;
}

/** Condition of a write: the row has this ETag, the row does not exist, or no condition (`always`). */
export type WriteCondition =
    | { readonly kind: "etag"; readonly etag: string }
    | { readonly kind: "absent" }
    | { readonly kind: "always" };

/** One write of a transaction; an undefined value deletes the row. */
export interface ConditionalWrite {
    readonly key: string;
    readonly condition: WriteCondition;
    readonly value: unknown;
}

/** Reads rows by key and writes them conditionally. */
export abstract class TableService {
    /**
     * Reads a row.
     *
     * @param key - the row's key
     * @returns the row, undefined when there is none, or the error when it could not be read
     */
    public abstract read(key: string): Promise<Result<TableRow | undefined, PlatformError>>;

    /**
     * Reads a snapshot of all rows whose keys start with a prefix.
     *
     * @param prefix - prefix of the keys
     * @returns the rows in order of their keys, or the error when they could not be read
     */
    public abstract list(prefix: string): Promise<Result<readonly TableRow[], PlatformError>>;

    /**
     * Writes all rows or none.
     *
     * @param writes - the writes and their conditions
     * @returns the new ETags in the order of the writes, or the error when nothing is known to be written; after
     * "unavailable" the writes may have taken effect
     */
    public abstract write(writes: readonly ConditionalWrite[]): Promise<Result<readonly string[], PlatformError>>;
}
