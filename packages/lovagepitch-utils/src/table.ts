/**
 * Table of entities whose rows are immutable and are replaced as a whole.
 */

/** In-memory rows by key, in order of insertion. */
export class Table<Key, Row> {
    private readonly rows = new Map<Key, Row>();

    /** Number of rows. */
    public get size(): number {
        return this.rows.size;
    }

    /**
     * Returns a row.
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
     * @returns true when the row exists
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
     * @param key - the row's key; a missing row is not created
     * @param fields - the fields to replace
     * @returns the new row, or undefined when there is no such row
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
     * @returns true when the row existed
     */
    public delete(key: Key): boolean {
        return this.rows.delete(key);
    }

    /**
     * Iterates over the rows.
     *
     * @returns the rows in order of insertion
     */
    public values(): IterableIterator<Row> {
        return this.rows.values();
    }

    /**
     * Iterates over keys and rows.
     *
     * @returns the entries in order of insertion
     */
    public entries(): IterableIterator<[Key, Row]> {
        return this.rows.entries();
    }
}
