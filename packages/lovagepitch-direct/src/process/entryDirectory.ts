/**
 * Where entries listen for agents: each entry keeps a row in the store, and every process reads the rows now and then.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import { setTimeout as delay } from "node:timers/promises";
import type { RowsView, SharedRows } from "./sharedRows.js";
import type { StoreReachability } from "./storeReachability.js";

/** Table of the entries' addresses. */
export const entriesTable = "lovagepitch-entries";

/** Time between two readings without a change, in milliseconds. Entries learn of changes at once, and tell agents. */
const readIntervalMilliseconds = 2000;

/** Pause after a failed call, in milliseconds. */
const retryDelayMilliseconds = 300;

/** An entry writes its row again after this time, in milliseconds; a quarter of the row's life. */
const writeIntervalMilliseconds = 10_000;

/** A row that was not written for this long is that of an entry that is gone, in milliseconds of the store's clock. */
const rowLifetimeMilliseconds = 40_000;

/** Finds the addresses of entries. */
export class EntryDirectory {
    private storeMilliseconds: number | undefined;
    private version = 0;

    /**
     * @param rows - the store
     * @param clock - steady clock
     * @param reachability - is told whether the store answers
     * @param onAddresses - is told of the addresses after each reading
     */
    public constructor(
        private readonly rows: SharedRows,
        private readonly clock: Clock,
        private readonly reachability: StoreReachability,
        private readonly onAddresses: (addresses: readonly string[]) => void,
    ) {}

    /**
     * Reads the addresses until the process ends.
     *
     * @param ownAddress - kept in the store for others to find; undefined for a process that is no entry
     * @returns never
     */
    public async run(ownAddress: string | undefined): Promise<never> {
        let nextWriteAt = this.clock.nowMilliseconds();
        for (;;) {
            const isRead = await this.readAll();
            const isDue = ownAddress !== undefined && this.clock.nowMilliseconds() >= nextWriteAt;
            const isWritten = !isDue || (isRead && await this.writeOwn(ownAddress));
            if (isRead && isWritten) {
                // By time, not by readings: each write has every entry read again.
                nextWriteAt = isDue ? this.clock.nowMilliseconds() + writeIntervalMilliseconds : nextWriteAt;
                await (ownAddress === undefined ? delay(readIntervalMilliseconds) : this.waitForChange());
            }
            else {
                await delay(retryDelayMilliseconds);
            }
        }
    }

    private async readAll(): Promise<boolean> {
        const result = await this.rows.read(entriesTable);
        if (result.err) {
            this.reachability.recordOutcome(false, result.val.message);
            return false;
        }
        this.reachability.recordOutcome(true, "the entries' addresses were read");
        this.storeMilliseconds = result.val.storeMilliseconds;
        this.version = result.val.version;
        this.onAddresses(listAddresses(result.val));
        return true;
    }

    private async waitForChange(): Promise<void> {
        const result = await this.rows.watch(entriesTable, this.version, readIntervalMilliseconds);
        if (result.err) {
            // The history may be gone; the next reading shows what has changed.
            await delay(retryDelayMilliseconds);
        }
    }

    private async writeOwn(address: string): Promise<boolean> {
        const result = await this.rows.write(entriesTable, address, { address, writtenAt: this.storeMilliseconds });
        if (result.err) {
            this.reachability.recordOutcome(false, result.val.message);
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
