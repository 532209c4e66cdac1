import { Given, Then, When } from "@cucumber/cucumber";
import { MonotonicClock } from "@lovagepitch/utils/monotonicClock";
import { Ok, type Result } from "@lovagepitch/utils/result";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { EntryDirectory } from "../process/entryDirectory.js";
import { type RowsView, type SharedRow, SharedRows, type StoreFailure } from "../process/sharedRows.js";
import { StoreReachability } from "../process/storeReachability.js";

/** In-memory rows of one table; a watch returns after the next write. */
class MemoryRows extends SharedRows {
    public calls = 0;
    private readonly rows = new Map<string, SharedRow>();
    private version = 1;
    private wakeWatchers: (() => void)[] = [];

    public override read(): Promise<Result<RowsView, StoreFailure>> {
        this.calls += 1;
        return Promise.resolve(Ok({ rows: [...this.rows.values()], version: this.version, storeMilliseconds: 1000 }));
    }

    public override async watch(
        _table: string,
        version: number,
        waitMilliseconds: number,
    ): Promise<Result<RowsView, StoreFailure>> {
        this.calls += 1;
        if (version >= this.version) {
            await new Promise<void>(resolve => {
                this.wakeWatchers.push(resolve);
                setTimeout(resolve, waitMilliseconds).unref();
            });
        }
        return Ok({ rows: [], version: this.version, storeMilliseconds: 1000 });
    }

    public override write(_table: string, key: string, value: unknown): Promise<Result<undefined, StoreFailure>> {
        this.calls += 1;
        this.version += 1;
        this.rows.set(key, { key, value });
        this.wakeWatchers.splice(0).forEach(wake => wake());
        return Promise.resolve(Ok(undefined));
    }
}

const ownAddress = "10.1.0.1:7720";
const otherAddress = "10.1.0.2:7720";

let rows = new MemoryRows();
let foundAddresses: readonly string[] = [];

Given("an entry directory on an in-memory store", () => {
    rows = new MemoryRows();
    const reachability = new StoreReachability({ write: () => undefined });
    void new EntryDirectory(rows, new MonotonicClock(), reachability, entries => {
        foundAddresses = entries.map(entry => entry.address);
    }).run({ address: ownAddress, availabilityZone: "zone-a" });
});

When("another entry writes its address after {int} ms", async (milliseconds: number) => {
    await delay(milliseconds);
    await rows.write("lovagepitch-entries", otherAddress, { address: otherAddress, writtenAt: 1000 });
});

Then("the directory lists it within {int} ms", async (milliseconds: number) => {
    await delay(milliseconds);
    assert.deepEqual([...foundAddresses].sort(), [ownAddress, otherAddress]);
});

Then("{int} entries that start together make at most {int} calls within {int} ms", async (
    entries: number,
    maximumCalls: number,
    milliseconds: number,
) => {
    rows = new MemoryRows();
    for (let entry = 0; entry < entries; entry += 1) {
        const reachability = new StoreReachability({ write: () => undefined });
        void new EntryDirectory(rows, new MonotonicClock(), reachability, () => undefined).run({
            address: `10.1.1.${entry}:7720`,
            availabilityZone: "zone-a",
        });
    }
    await delay(milliseconds);
    assert.ok(rows.calls <= maximumCalls, `${rows.calls} calls`);
});

Then("the directory made at most {int} calls in that time", (maximumCalls: number) => {
    assert.ok(rows.calls <= maximumCalls, `${rows.calls} calls`);
});

Then(
    /^an agent that finds (an|no) entry makes at (most|least) (\d+) calls? within (\d+) ms$/,
    async (found: string, comparison: string, limit: string, milliseconds: string) => {
        rows = new MemoryRows();
        if (found === "an") {
            await rows.write("lovagepitch-entries", otherAddress, { address: otherAddress, writtenAt: 1000 });
            rows.calls = 0;
        }
        const reachability = new StoreReachability({ write: () => undefined });
        void new EntryDirectory(rows, new MonotonicClock(), reachability, () => undefined).run(undefined);
        await delay(Number(milliseconds));
        assert.ok(
            comparison === "most" ? rows.calls <= Number(limit) : rows.calls >= Number(limit),
            `${rows.calls} calls`,
        );
    },
);
