/**
 * Summary of a deployment from its rows in the store.
 */
import { Ok, type Result } from "@lovagepitch/utils/result";
import type { ConfigurationRow } from "./configurationWatcher.js";
import { entriesTable, listEntries } from "./entryDirectory.js";
import type { SharedRows, StoreFailure } from "./sharedRows.js";

/** Configuration version and entries of a deployment, read from its store. */
export interface DeploymentOverview {
    /** Version of the operator's configuration; `unreadable` when its row cannot be read, undefined without one. */
    readonly configurationVersion: number | "unreadable" | undefined;
    /** Host and port at which entries with a recent row listen for agents. */
    readonly entryAddresses: readonly string[];
}

/**
 * Reads the rows of a deployment.
 *
 * @param rows - rows of the store
 * @param configurationRow - location and decoder of the configuration
 * @returns the overview, or the reason why the store could not be read
 */
export async function readOverview(
    rows: SharedRows,
    configurationRow: ConfigurationRow,
): Promise<Result<DeploymentOverview, StoreFailure>> {
    const [configurations, entries] = [await rows.read(configurationRow.table), await rows.read(entriesTable)];
    if (configurations.err) {
        return configurations;
    }
    if (entries.err) {
        return entries;
    }
    const decoded = configurations.val.rows.map(row => configurationRow.decode(row)).find(value => value !== undefined);
    return Ok({
        configurationVersion: decoded === "unreadable" ? decoded : decoded?.version,
        entryAddresses: listEntries(entries.val).map(entry => entry.address),
    });
}
