/**
 * Directory of the addresses at which entries listen for agents. Each entry maintains a row in the store, and every
 * process reads the rows periodically.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import { isIPv4 } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { isSocketAddress, splitAddress } from "../links/listenAt.js";
import type { EntryLocation } from "../model/entryLocation.js";
import { OddRows } from "./oddRows.js";
import type { RowsView, SharedRows } from "./sharedRows.js";
import type { StoreReachability } from "./storeReachability.js";

/** Name of the table that holds the addresses of entries. */
export const entriesTable = "lovagepitch-entries";

/**
 * Longest time between two reads when nothing changes, in milliseconds. Entries are notified of changes immediately,
 * and forward them to agents.
 */
const readIntervalMilliseconds = 2000;

/**
 * Interval between two reads of a process that is not an entry and knows some, in milliseconds. Entries tell it of
 * changes; it reads again in case it has lost all of them.
 */
const followerReadIntervalMilliseconds = 10_000;

/** Delay after a failed call, in milliseconds. */
const retryDelayMilliseconds = 300;

/** Interval at which an entry renews its row, in milliseconds; a quarter of the row's lifetime. */
const writeIntervalMilliseconds = 10_000;

/** Longest name of an availability zone, in characters; it goes to all agents. */
const maximumZoneLength = 256;

/** Largest value of an entry's row, in bytes. */
const maximumRowBytes = 4096;

/** Age above which a row counts as that of an entry that has ended, in milliseconds on the store's clock. */
const rowLifetimeMilliseconds = 40_000;

/** Publishes the address of an entry, and discovers those of the others. */
export class EntryDirectory {
    private storeMilliseconds: number | undefined;
    private version = 0;
    private hasFoundEntries = false;

    /**
     * @param rows - rows of the store
     * @param clock - monotonic clock
     * @param reachability - records whether the store answers
     * @param onEntries - called with all current entries after each read
     * @param oddRows - logs rows that no entry has written
     */
    public constructor(
        private readonly rows: SharedRows,
        private readonly clock: Clock,
        private readonly reachability: StoreReachability,
        private readonly onEntries: (entries: readonly EntryLocation[]) => void,
        private readonly oddRows: OddRows = new OddRows({ write: () => undefined }),
    ) {}

    /**
     * Reads the addresses until the process ends.
     *
     * @param own - location to publish in the store; undefined for a process that is not an entry
     * @returns a promise that never settles
     */
    public async run(own: EntryLocation | undefined): Promise<never> {
        let nextWriteAt = this.clock.nowMilliseconds();
        for (;;) {
            const isRead = await this.readAll();
            const isDue = own !== undefined && this.clock.nowMilliseconds() >= nextWriteAt;
            const isWritten = !isDue || (isRead && await this.writeOwn(own));
            if (isRead && isWritten) {
                // Writes follow the clock and not the reads, because each write makes every entry read again.
                nextWriteAt = isDue ? this.clock.nowMilliseconds() + writeIntervalMilliseconds : nextWriteAt;
                await (own === undefined ? delay(this.getFollowerDelayMilliseconds()) : this.waitForChange());
            }
            else {
                await delay(retryDelayMilliseconds);
            }
        }
    }

    private async readAll(): Promise<boolean> {
        const result = await this.rows.read(entriesTable, maximumRowBytes);
        if (result.err) {
            this.reachability.recordOutcome(false, result.val.message);
            return false;
        }
        this.reachability.recordOutcome(true, "the entries' addresses were read");
        this.storeMilliseconds = result.val.storeMilliseconds;
        this.version = result.val.version;
        const entries = listEntries(result.val, key => this.oddRows.record(entriesTable, key));
        this.hasFoundEntries = entries.length > 0;
        this.onEntries(entries);
        return true;
    }

    private getFollowerDelayMilliseconds(): number {
        return this.hasFoundEntries ? followerReadIntervalMilliseconds : readIntervalMilliseconds;
    }

    private async waitForChange(): Promise<void> {
        const result = await this.rows.watch(entriesTable, this.version, readIntervalMilliseconds);
        if (result.err) {
            // The store may have discarded the changes; the next read returns the current rows.
            await delay(retryDelayMilliseconds);
        }
    }

    private async writeOwn({ address, availabilityZone }: EntryLocation): Promise<boolean> {
        const row = { address, availabilityZone, writtenAt: this.storeMilliseconds };
        const result = await this.rows.write(entriesTable, address, row);
        if (result.err) {
            this.reachability.recordOutcome(false, result.val.message);
        }
        return result.ok;
    }
}

/**
 * Lists the entries with a recent row. Rows of other writers that name no entry are skipped.
 *
 * @param view - rows of the table of addresses
 * @param onOddRow - called with the key of each row that no entry has written
 * @returns location of each entry; rows of earlier versions name no availability zone
 */
export function listEntries(
    view: RowsView,
    onOddRow: (key: string) => void = () => undefined,
): readonly EntryLocation[] {
    const entries: EntryLocation[] = [];
    for (const { key, value, isRemoved } of view.rows) {
        const row = value as Readonly<Record<"address" | "availabilityZone" | "writtenAt", unknown>> | null | undefined;
        const { address, availabilityZone, writtenAt } = row ?? {};
        const isZone = availabilityZone === undefined || isZoneName(availabilityZone);
        // Entries take the time from an earlier response of the store, so none writes a later one.
        const isWritten = typeof writtenAt === "number" && writtenAt <= view.storeMilliseconds;
        if (typeof address !== "string" || !isEntryAddress(address) || !isZone || !isWritten) {
            if (!isRemoved) {
                onOddRow(key);
            }
        }
        else if (view.storeMilliseconds - writtenAt <= rowLifetimeMilliseconds) {
            entries.push({ address, availabilityZone });
        }
    }
    return entries;
}

function isZoneName(value: unknown): value is string {
    return typeof value === "string" && value.length <= maximumZoneLength;
}

function isEntryAddress(text: string): boolean {
    return isSocketAddress(text) && isIPv4(splitAddress(text).host);
}
