/**
 * Changes of one row that its owner writes, such as renewals.
 */
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import type { z } from "zod";
import { PlatformError } from "./platformError.js";
import { parseRow } from "./registryRows.js";
import type { RetryPolicy } from "./retryPolicy.js";
import type { TableService } from "./tableService.js";

/** A row's value with the tag that it had when it was last read or written. */
interface CachedRow<Value> {
    readonly value: Value;
    readonly etag: string;
}

/** A change of a row. */
export interface RowChange<Value> {
    /** Computes the new value, or the error that forbids the change. */
    readonly computeValue: (value: Value) => Result<Value, PlatformError>;
    /** Tells whether a value already shows the change. */
    readonly isApplied: (value: Value) => boolean;
}

/** Rows of one kind that this process owns; it remembers their tags, so that a change is one write. */
export class OwnedRows<Value> {
    private readonly cachedRows = new Map<string, CachedRow<Value>>();

    /**
     * @param table - the platform's table
     * @param retries - how often a change is attempted
     * @param schema - what the rows must hold
     */
    public constructor(
        private readonly table: TableService,
        private readonly retries: RetryPolicy,
        private readonly schema: z.ZodType<Value>,
    ) {}

    /**
     * Remembers a row as it was just written.
     *
     * @param key - the row's key
     * @param value - its value
     * @param etag - its tag
     */
    public cacheRow(key: string, value: Value, etag: string): void {
        this.cachedRows.set(key, { value, etag });
    }

    /**
     * Reads a row, and remembers it.
     *
     * @param key - the row's key
     * @returns the value, undefined when there is no such row, or why it could not be read
     */
    public async read(key: string): Promise<Result<Value | undefined, PlatformError>> {
        const known = await this.readAndCache(key);
        return known.map(row => row?.value);
    }

    /**
     * Changes a row under its tag; a lost answer is resolved by reading the row back.
     *
     * @param key - the row's key
     * @param rowChange - the change
     * @returns the new value, undefined when there is no such row, or why the change is not known to be written
     */
    public async update(key: string, rowChange: RowChange<Value>): Promise<Result<Value | undefined, PlatformError>> {
        let failure = new PlatformError("conflict", `The row ${key} keeps changing; try again later`);
        for (let attempt = 0; attempt < this.retries.maximumAttempts; attempt += 1) {
            await this.retries.waitBefore(attempt);
            const row = this.cachedRows.has(key) ? Ok(this.cachedRows.get(key)) : await this.readAndCache(key);
            if (row.err) {
                return row;
            }
            if (row.val === undefined || (attempt > 0 && rowChange.isApplied(row.val.value))) {
                return Ok(row.val?.value);
            }
            const value = rowChange.computeValue(row.val.value);
            if (value.err) {
                return value;
            }
            const written = await this.write(key, value.val, row.val.etag);
            if (written.ok || written.val.kind === "invalid") {
                return written;
            }
            if (written.val.kind === "throttled") {
                return failure.kind === "unavailable" ? Err(failure) : written;
            }
            failure = written.val;
        }
        return Err(failure);
    }

    private async write(key: string, value: Value, etag: string): Promise<Result<Value, PlatformError>> {
        const written = await this.table.write([{ key, condition: { kind: "etag", etag }, value }]);
        if (written.ok) {
            this.cacheRow(key, value, String(written.val[0]));
            return Ok(value);
        }
        this.cachedRows.delete(key);
        return written;
    }

    private async readAndCache(key: string): Promise<Result<CachedRow<Value> | undefined, PlatformError>> {
        const row = await this.table.read(key);
        if (row.err) {
            return row;
        }
        if (row.val === undefined) {
            this.cachedRows.delete(key);
            return Ok(undefined);
        }
        const value = parseRow(row.val, this.schema);
        if (value.err) {
            return value;
        }
        const known = { value: value.val, etag: row.val.etag };
        this.cachedRows.set(key, known);
        return Ok(known);
    }
}
