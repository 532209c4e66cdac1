/**
 * Watches the operator's configuration in the store.
 */
import { setTimeout as delay } from "node:timers/promises";
import type { DispatchConfiguration } from "../model/dispatchConfiguration.js";
import type { RowsView, SharedRow, SharedRows } from "./sharedRows.js";
import type { StoreReachability } from "./storeReachability.js";

/**
 * Longest time that one call waits for a change, in milliseconds. A silent connection is detected after this time, well
 * within the two seconds in which a version has to be in force.
 */
const watchTimeoutMilliseconds = 800;

/** Delay after a failed call, in milliseconds. */
const retryDelayMilliseconds = 200;

/** Location of the configuration in the store, and its decoder. */
export abstract class ConfigurationRow {
    /** Name of the table that holds the configuration. */
    public abstract readonly table: string;

    /**
     * Decodes a row of the table.
     *
     * @param row - row to decode
     * @returns the configuration, or `unreadable` if the row cannot be decoded; undefined for any other row
     */
    public abstract decode(row: SharedRow): DispatchConfiguration | "unreadable" | undefined;
}

/** Reads the configuration, then watches it for changes until the process ends. */
export class ConfigurationWatcher {
    /**
     * @param rows - rows of the store
     * @param row - location and decoder of the configuration
     * @param reachability - records whether the store answers
     * @param onConfiguration - called with each version read; versions may repeat or be older than earlier ones
     * @param onUnreadable - called when the row cannot be decoded; the version in force stays
     * @param onRows - called with all rows of the table and with its changes, since other rows lie there too
     */
    public constructor(
        private readonly rows: SharedRows,
        private readonly row: ConfigurationRow,
        private readonly reachability: StoreReachability,
        private readonly onConfiguration: (configuration: DispatchConfiguration) => void,
        private readonly onUnreadable: () => void,
        private readonly onRows: (view: RowsView, isComplete: boolean) => void,
    ) {}

    /**
     * Watches the configuration until the process ends.
     *
     * @returns a promise that never settles
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
        this.reachability.recordOutcome(true, "the configuration was read");
        this.notify(result.val.rows);
        this.onRows(result.val, true);
        return result.val.version;
    }

    private async watchChanges(from: number): Promise<void> {
        let version = from;
        for (;;) {
            const result = await this.rows.watch(this.row.table, version, watchTimeoutMilliseconds);
            if (result.ok) {
                this.reachability.recordOutcome(true, "changes of the configuration were read");
                this.notify(result.val.rows);
                this.onRows(result.val, false);
                version = Math.max(version, result.val.version);
                continue;
            }
            this.reachability.recordOutcome(false, result.val.message);
            if (result.val.kind === "history-discarded") {
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
