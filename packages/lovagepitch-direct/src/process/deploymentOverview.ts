/**
 * What the store tells about a deployment.
 */
import { Ok, type Result } from "@lovagepitch/utils/result";
import type { ConfigurationRow } from "./configurationWatcher.js";
import { entriesTable, listAddresses } from "./entryDirectory.js";
import type { SharedRows, StoreFailure } from "./sharedRows.js";

/** A deployment as its store shows it. */
export interface DeploymentOverview {
    /** Version of the operator's configuration; `unreadable` when its row cannot be read, undefined without one. */
    readonly configurationVersion: number | "unreadable" | undefined;
    /** Host and port at which entries that renewed their row lately listen for agents. */
    readonly entryAddresses: readonly string[];
}

/**
 * Reads a deployment's rows.
 *
 * @param rows - the store
 * @param row - where the configuration lies
 * @returns the overview, or why it could not be read
 */
export async function readOverview(
    rows: SharedRows,
    row: ConfigurationRow,
): Promise<Result<DeploymentOverview, StoreFailure>> {
    const [configurations, entries] = [await rows.read(row.table), await rows.read(entriesTable)];
    if (configurations.err) {
        return configurations;
    }
    if (entries.err) {
        return entries;
    }
    const decoded = configurations.val.rows.map(each => row.decode(each)).find(each => each !== undefined);
    return Ok({
        configurationVersion: decoded === "unreadable" ? decoded : decoded?.version,
        entryAddresses: listAddresses(entries.val),
    });
}
