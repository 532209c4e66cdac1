/**
 * Entity tables: rows are read-only and are replaced as a whole.
 */

/** Rows by key, in order of insertion. */
export class Table<Key, Row> {
    private readonly rows = new Map<Key, Row>();

    /** Number of rows. */
    public get size(): number {
        return this.rows.size;
    }

    /**
     * Finds a row.
     *
     * @param key - the row's key
     * @returns the row, or undefined when there is none
     */
    public get(key: Key): Row | undefined {
        return this.rows.get(key);
    }

    /**
     * Tells whether a row exists.
     *
     * @param key - the row's key
     * @returns true when there is one
     */
    public has(key: Key): boolean {
        return this.rows.has(key);
    }

    /**
     * Inserts or replaces a row.
     *
     * @param key - the row's key
     * @param row - the new row
     */
    public set(key: Key, row: Row): void {
        this.rows.set(key, row);
    }

    /**
     * Replaces some fields of a row.
     *
     * @param key - the row's key; nothing happens when there is no such row
     * @param fields - the fields to replace
     * @returns the new row, or undefined when there is none
     */
    public update(key: Key, fields: Partial<Row>): Row | undefined {
        const row = this.rows.get(key);
        if (row === undefined) {
            return undefined;
        }
        const replacement = { ...row, ...fields };
        this.rows.set(key, replacement);
        return replacement;
    }

    /**
     * Removes a row.
     *
     * @param key - the row's key
     * @returns true when there was one
     */
    public delete(key: Key): boolean {
        return this.rows.delete(key);
    }

    /**
     * Lists the rows.
     *
     * @returns the rows in order of insertion
     */
    public values(): IterableIterator<Row> {
        return this.rows.values();
    }

    /**
     * Lists keys and rows.
     *
     * @returns the entries in order of insertion
     */
    public entries(): IterableIterator<[Key, Row]> {
        return this.rows.entries();
    }
}
