/**
 * Where entries listen for agents: each entry keeps a row in the store, and every process reads the rows now and then.
 */
import { setTimeout as delay } from "node:timers/promises";
import type { RowsView, SharedRows } from "./sharedRows.js";
import type { StoreReachability } from "./storeReachability.js";

/** Table of the entries' addresses. */
const entriesTable = "lovagepitch-entries";

/** Pause between two readings, in milliseconds; an entry that was added is found within it. */
const readIntervalMilliseconds = 2000;

/** Pause after a failed call, in milliseconds. */
const retryMilliseconds = 300;

/** An entry writes its row again after this many readings. */
const readingsBetweenWrites = 5;

/** A row that was not written for this long is that of an entry that is gone, in milliseconds of the store's clock. */
const rowLifetimeMilliseconds = 40_000;

/** Finds the addresses of entries. */
export class EntryDirectory {
    private storeMilliseconds: number | undefined;

    /**
     * @param rows - the store
     * @param reachability - is told whether the store answers
     * @param found - is told of the addresses after each reading
     */
    public constructor(
        private readonly rows: SharedRows,
        private readonly reachability: StoreReachability,
        private readonly found: (addresses: readonly string[]) => void,
    ) {}

    /**
     * Reads the addresses until the process ends.
     *
     * @param ownAddress - kept in the store for others to find; undefined for a process that is no entry
     * @returns never
     */
    public async run(ownAddress: string | undefined): Promise<never> {
        for (let reading = 0;;) {
            const isRead = await this.readAll();
            const isDue = ownAddress !== undefined && reading % readingsBetweenWrites === 0;
            const isWritten = !isDue || (isRead && await this.writeOwn(ownAddress));
            if (isRead && isWritten) {
                reading += 1;
                await delay(readIntervalMilliseconds);
            }
            else {
                await delay(retryMilliseconds);
            }
        }
    }

    private async readAll(): Promise<boolean> {
        const result = await this.rows.read(entriesTable);
        if (result.err) {
            this.reachability.note(false, result.val.message);
            return false;
        }
        this.reachability.note(true, "the entries' addresses were read");
        this.storeMilliseconds = result.val.storeMilliseconds;
        this.found(listAddresses(result.val));
        return true;
    }

    private async writeOwn(address: string): Promise<boolean> {
        const result = await this.rows.write(entriesTable, address, { address, writtenAt: this.storeMilliseconds });
        if (result.err) {
            this.reachability.note(false, result.val.message);
        }
        return result.ok;
    }
}

/**
 * Lists the addresses of entries that wrote their row lately. Rows that cannot be read name no entry.
 *
 * @param view - the table
 * @returns host and port of each entry
 */
export function listAddresses(view: RowsView): readonly string[] {
    const addresses: string[] = [];
    for (const { value } of view.rows) {
        const row = value as { readonly address?: unknown; readonly writtenAt?: unknown } | null | undefined;
        const isRecent = typeof row?.writtenAt === "number"
            && view.storeMilliseconds - row.writtenAt <= rowLifetimeMilliseconds;
        if (isRecent && typeof row.address === "string" && /^[\d.]+:\d+$/.test(row.address)) {
            addresses.push(row.address);
        }
    }
    return addresses;
}
