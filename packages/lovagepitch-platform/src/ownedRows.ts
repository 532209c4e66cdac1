/**
 * Updates of rows that belong to this process, such as renewals of registrations.
 */
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import type { z } from "zod";
import { PlatformError } from "./platformError.js";
import { parseRow } from "./registryRows.js";
import type { RetryPolicy } from "./retryPolicy.js";
import type { TableService } from "./tableService.js";

/** A row's value and ETag when it was last read or written. */
interface CachedRow<Value> {
    readonly value: Value;
    readonly etag: string;
}

/** An update of a row. */
export interface RowUpdate<Value> {
    /** Computes the new value, or the error when the update is not allowed. */
    readonly computeValue: (value: Value) => Result<Value, PlatformError>;
    /** Tells whether a value already contains the update. */
    readonly isApplied: (value: Value) => boolean;
}

/** Rows of one kind that this process owns. Their ETags are cached, so that an update takes a single write. */
export class OwnedRows<Value> {
    private readonly cachedRows = new Map<string, CachedRow<Value>>();

    /**
     * @param table - the platform's table
     * @param retries - attempts and backoff of an update
     * @param schema - validates the rows
     */
    public constructor(
        private readonly table: TableService,
        private readonly retries: RetryPolicy,
        private readonly schema: z.ZodType<Value>,
    ) {}

    /**
     * Caches a row that was just written.
     *
     * @param key - the row's key
     * @param value - the written value
     * @param etag - ETag of the written row
     */
    public cacheRow(key: string, value: Value, etag: string): void {
        this.cachedRows.set(key, { value, etag });
    }

    /**
     * Reads a row and caches it.
     *
     * @param key - the row's key
     * @returns the value, undefined when there is no such row, or the error when it could not be read
     */
    public async read(key: string): Promise<Result<Value | undefined, PlatformError>> {
        const cached = await this.readAndCache(key);
        return cached.map(row => row?.value);
    }

    /**
     * Updates a row on the condition of its ETag; after a lost response the row is read back.
     *
     * @param key - the row's key
     * @param rowUpdate - computes and recognises the update
     * @returns the new value, undefined when there is no such row, or the error when the update is not known to be
     * written
     */
    public async update(key: string, rowUpdate: RowUpdate<Value>): Promise<Result<Value | undefined, PlatformError>> {
        let failure = new PlatformError("conflict", `The row ${key} keeps changing; try again later`);
        for (let attempt = 0; attempt < this.retries.maximumAttempts; attempt += 1) {
            await this.retries.waitBefore(attempt);
            const row = this.cachedRows.has(key) ? Ok(this.cachedRows.get(key)) : await this.readAndCache(key);
            if (row.err) {
                return row;
            }
            if (row.val === undefined || (attempt > 0 && rowUpdate.isApplied(row.val.value))) {
                return Ok(row.val?.value);
            }
            const value = rowUpdate.computeValue(row.val.value);
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
        const cached = { value: value.val, etag: row.val.etag };
        this.cachedRows.set(key, cached);
        return Ok(cached);
    }
}
