import { Given, Then, When } from "@cucumber/cucumber";
import { MonotonicClock } from "@lovagepitch/utils/monotonicClock";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { CapacityDatagrams } from "../links/capacityDatagrams.js";
import { EntryConnections } from "../links/entryConnections.js";
import { isCapacityRequest } from "../links/frameGuards.js";
import { EntryDirectory, listEntries } from "../process/entryDirectory.js";
import { StoreReachability } from "../process/storeReachability.js";
import { MemoryRows } from "./memoryRows.js";

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

function listAddresses(addresses: readonly string[]): readonly string[] {
    const view = {
        rows: addresses.map(address => ({ key: address, value: { address, writtenAt: 1000 }, isRemoved: false })),
        version: 1,
        storeMilliseconds: 1000,
    };
    return listEntries(view).map(entry => entry.address);
}

Then("the rows of {string} and {string} name {string} only", (first: string, second: string, named: string) => {
    assert.deepEqual(listAddresses([first, second]), [named]);
});

Then("no address that is taken for one of an entry makes a connection or a datagram throw", async () => {
    const ports = ["-1", "0", "00", "1", "65535", "65536", "99999", "1e3", "0x10", "", " 1", "1 "];
    const candidates = ports.map(port => `127.0.0.1:${port}`);
    const fromRows = listAddresses(candidates);
    const fromFrames = candidates.filter(address => {
        const needs = { milliCores: 1, memoryMegabytes: 1, accelerators: 0 };
        return isCapacityRequest({ from: { address }, service: "drives", needs, agents: 1 });
    });
    assert.deepEqual(fromRows, ["127.0.0.1:1", "127.0.0.1:65535"]);
    const datagrams = new CapacityDatagrams(() => undefined, () => undefined);
    await datagrams.listen("127.0.0.1", 0);
    const connections = new EntryConnections({
        onConnected: () => undefined,
        onFrame: () => undefined,
        onDisconnected: () => undefined,
    });
    for (const address of [...fromRows, ...fromFrames]) {
        connections.open(address);
        datagrams.send(address, {
            from: { address: ownAddress, availabilityZone: undefined },
            service: "drives",
            needs: { milliCores: 1, memoryMegabytes: 1, accelerators: 0 },
            requiredLabel: undefined,
            agents: 1,
        });
    }
    await delay(20);
    connections.close();
    datagrams.close();
});
