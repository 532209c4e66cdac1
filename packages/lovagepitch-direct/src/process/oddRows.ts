/**
 * Logs rows of the store that another writer has left and that are ignored: one line for each, however often the table is read.
 */
import type { RateLimitedLog } from "./rateLimitedLog.js";

/** Largest number of rows that are logged, and of characters of a key in a line. */
const maximumRows = 1000;
const maximumKeyLength = 200;

/** Remembers which rows have been logged. */
export class OddRows {
    private readonly logged = new Set<string>();

    /**
     * @param log - log that receives the lines
     */
    public constructor(private readonly log: Pick<RateLimitedLog, "write">) {}

    /**
     * Records that a row is ignored.
     *
     * @param table - name of its table
     * @param key - key of the row
     */
    public record(table: string, key: string): void {
        const name = `${table} ${key}`;
        if (this.logged.has(name) || this.logged.size >= maximumRows) {
            return;
        }
        this.logged.add(name);
        this.log.write("warn", "row of another writer ignored", { table, key: key.slice(0, maximumKeyLength) });
    }
}
