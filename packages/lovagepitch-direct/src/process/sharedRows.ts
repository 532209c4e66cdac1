/**
 * Access to the rows of the platform's store that processes share. No call is on the path of a job.
 */
import type { Result } from "@lovagepitch/utils/result";

/** A row of a table. */
export interface SharedRow {
    readonly key: string;
    /**
     * Decoded value; undefined when the row was removed or its bytes cannot be decoded. Rows of the store decode it at each access, so
     * that the values of rows which nobody reads take no memory.
     */
    readonly value: unknown;
    readonly isRemoved: boolean;
}

/** A row and the version of the store that last changed it. */
export interface VersionedRow {
    /** Decoded value; undefined when there is no row or its bytes cannot be decoded. */
    readonly value: unknown;
    /** 0 when there is no row. */
    readonly version: number;
}

/** Rows of a table at one version of the store. */
export interface RowsView {
    readonly rows: readonly SharedRow[];
    /** Version of the store that the rows belong to; later changes can be watched. */
    readonly version: number;
    /** Store's monotonic clock, in milliseconds. */
    readonly storeMilliseconds: number;
}

/** Reason for which a call to the store failed. */
export interface StoreFailure {
    readonly kind: "unavailable" | "history-discarded" | "malformed" | "conflict";
    /** Description of the failure and of what happens next, for the log. */
    readonly message: string;
}

/** Rows of the store. Every call completes within a bounded time. */
export abstract class SharedRows {
    /**
     * Reads all rows of a table.
     *
     * @param table - name of the table
     * @param maximumValueBytes - size of a value above which the row is returned without it; another writer may have filled the table
     * @returns its rows, or the reason why they could not be read
     */
    public abstract read(table: string, maximumValueBytes?: number): Promise<Result<RowsView, StoreFailure>>;

    /**
     * Waits for changes of a table.
     *
     * @param table - name of the table
     * @param version - version of the store after which changes are returned
     * @param waitMilliseconds - longest time to wait
     * @returns the changed rows, possibly none, or the reason why they could not be read
     */
    public abstract watch(
        table: string,
        version: number,
        waitMilliseconds: number,
    ): Promise<Result<RowsView, StoreFailure>>;

    /**
     * Writes a row, regardless of its previous value.
     *
     * @param table - name of the table
     * @param key - key of the row
     * @param value - new value, serialized as JSON
     * @returns nothing, or the reason why it may not have been written
     */
    public abstract write(table: string, key: string, value: unknown): Promise<Result<undefined, StoreFailure>>;

    /**
     * Reads a single row.
     *
     * @param table - name of the table
     * @param key - key of the row
     * @returns the row and its version, or the reason why it could not be read
     */
    public abstract readRow(table: string, key: string): Promise<Result<VersionedRow, StoreFailure>>;

    /**
     * Writes a row if it has not changed, so that a delayed write cannot undo a later one.
     *
     * @param table - name of the table
     * @param key - key of the row
     * @param value - new value, serialized as JSON
     * @param expectedVersion - version that the row must have; 0 for a row that must not exist
     * @returns the new version; `conflict` when the row has changed, another failure when it may have been written
     */
    public abstract replace(
        table: string,
        key: string,
        value: unknown,
        expectedVersion: number,
    ): Promise<Result<number, StoreFailure>>;
}
