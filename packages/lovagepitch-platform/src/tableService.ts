/**
 * The platform's transactional table.
 */
import type { Result } from "@lovagepitch/utils/result";
import type { PlatformError } from "./platformError.js";

/** A row and the tag of its present state. */
export interface TableRow {
    readonly key: string;
    readonly value: unknown;
    readonly etag: string;
}

/** What must hold for a write: the row has this tag, is absent, or anything. */
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

/** Rows by key, written under conditions. */
export abstract class TableService {
    /**
     * Reads a row.
     *
     * @param key - the row's key
     * @returns the row, undefined when there is none, or why it could not be read
     */
    public abstract read(key: string): Promise<Result<TableRow | undefined, PlatformError>>;

    /**
     * Reads all rows whose keys start with a prefix, as of one instant.
     *
     * @param prefix - start of the keys
     * @returns the rows in order of their keys, or why they could not be read
     */
    public abstract list(prefix: string): Promise<Result<readonly TableRow[], PlatformError>>;

    /**
     * Writes all rows or none.
     *
     * @param writes - the writes and their conditions
     * @returns the new tags in the order of the writes, or why nothing is known to be written; after "unavailable"
     * the writes may have taken effect
     */
    public abstract write(writes: readonly ConditionalWrite[]): Promise<Result<readonly string[], PlatformError>>;
}
