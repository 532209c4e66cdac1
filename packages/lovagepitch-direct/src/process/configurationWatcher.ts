/**
 * Follows the operator's configuration in the store.
 */
import { setTimeout as delay } from "node:timers/promises";
import type { DispatchConfiguration } from "../model/dispatchConfiguration.js";
import type { SharedRow, SharedRows } from "./sharedRows.js";
import type { StoreReachability } from "./storeReachability.js";

/**
 * How long one call waits for a change. A connection that has gone silent shows after this time, well within the two
 * seconds in which a version has to be in force.
 */
const watchTimeoutMilliseconds = 800;

/** Pause after a failed call, in milliseconds. */
const retryDelayMilliseconds = 200;

/** Where the configuration lies, and how it is read. */
export abstract class ConfigurationRow {
    /** The table that holds it. */
    public abstract readonly table: string;

    /**
     * Decodes a row of the table.
     *
     * @param row - the row
     * @returns the configuration, or `unreadable`; undefined for a row that is not the configuration's
     */
    public abstract decode(row: SharedRow): DispatchConfiguration | "unreadable" | undefined;
}

/** Reads the configuration, then waits for its changes, until the process ends. */
export class ConfigurationWatcher {
    /**
     * @param rows - the store
     * @param row - where the configuration lies
     * @param reachability - is told whether the store answers
     * @param onConfiguration - is told of versions; they may repeat and be older than earlier ones
     * @param onUnreadable - is told of a row that cannot be read; the version in force stays
     */
    public constructor(
        private readonly rows: SharedRows,
        private readonly row: ConfigurationRow,
        private readonly reachability: StoreReachability,
        private readonly onConfiguration: (configuration: DispatchConfiguration) => void,
        private readonly onUnreadable: () => void,
    ) {}

    /**
     * Runs until the process ends.
     *
     * @returns never
     */
    public async run(): Promise<never> {
        for (;;) {
            const version = await this.readAll();
            if (version !== undefined) {
                await this.watchChanges(version);
            }
            await delay(retryDelayMilliseconds);
        }
    }

    private async readAll(): Promise<number | undefined> {
        const result = await this.rows.read(this.row.table);
        if (result.err) {
            this.reachability.recordOutcome(false, result.val.message);
            return undefined;
        }
        this.reachability.recordOutcome(true, "read");
        this.notify(result.val.rows);
        return result.val.version;
    }

    private async watchChanges(from: number): Promise<void> {
        let version = from;
        for (;;) {
            const result = await this.rows.watch(this.row.table, version, watchTimeoutMilliseconds);
            if (result.ok) {
                this.reachability.recordOutcome(true, "watch");
                this.notify(result.val.rows);
                version = Math.max(version, result.val.version);
                continue;
            }
            this.reachability.recordOutcome(false, result.val.message);
            if (result.val.kind === "history-gone") {
                return;
            }
            await delay(retryDelayMilliseconds);
        }
    }

    private notify(rows: readonly SharedRow[]): void {
        for (const row of rows) {
            const configuration = this.row.decode(row);
            if (configuration === "unreadable") {
                this.onUnreadable();
            }
            else if (configuration !== undefined) {
                this.onConfiguration(configuration);
            }
        }
    }
}
