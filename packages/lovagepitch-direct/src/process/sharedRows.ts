/**
 * The rows of the platform's store that processes share. Nothing here lies in a job's path.
 */
import type { Result } from "@lovagepitch/utils/result";

/** A row. */
export interface SharedRow {
    readonly key: string;
    /** Undefined when the row was removed, or when its bytes cannot be read. */
    readonly value: unknown;
}

/** Rows as of one moment. */
export interface RowsView {
    readonly rows: readonly SharedRow[];
    /** Version of the store that the view shows; changes after it can be watched. */
    readonly version: number;
    /** The store's steady clock, in milliseconds. */
    readonly storeMilliseconds: number;
}

/** Why a call to the store failed. */
export interface StoreFailure {
    readonly kind: "unavailable" | "history-gone" | "malformed" | "conflict";
    /** What happened and what helps. */
    readonly message: string;
}

/** The store's rows. Every call ends within a bounded time. */
export abstract class SharedRows {
    /**
     * Reads a table.
     *
     * @param table - the table
     * @returns its rows, or why they could not be read
     */
    public abstract read(table: string): Promise<Result<RowsView, StoreFailure>>;

    /**
     * Waits for changes of a table.
     *
     * @param table - the table
     * @param version - version of the store from which on changes count
     * @param waitMilliseconds - longest time to wait
     * @returns the changed rows, possibly none
     */
    public abstract watch(
        table: string,
        version: number,
        waitMilliseconds: number,
    ): Promise<Result<RowsView, StoreFailure>>;

    /**
     * Writes a row, whatever it held before.
     *
     * @param table - the table
     * @param key - the row
     * @param value - what it holds from now on
     * @returns nothing, or why it may not have been written
     */
    public abstract write(table: string, key: string, value: unknown): Promise<Result<undefined, StoreFailure>>;
}
