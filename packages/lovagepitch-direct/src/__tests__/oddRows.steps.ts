import { Given, Then, When } from "@cucumber/cucumber";
import { MonotonicClock } from "@lovagepitch/utils/monotonicClock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import * as fastCheck from "fast-check";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { isSocketAddress } from "../links/listenAt.js";
import { entriesTable, EntryDirectory, listEntries } from "../process/entryDirectory.js";
import { OddRows } from "../process/oddRows.js";
import { StoreReachability } from "../process/storeReachability.js";
import { decodeRegistration, WorkerDirectory, workersTable } from "../process/workerDirectory.js";
import { AgentDriver, createOrder, createRegistration, createReport } from "./agentDriver.js";
import { MemoryRows } from "./memoryRows.js";

const instance = "side-1";
const storeMilliseconds = 1000;
const goodEntry = { address: "10.1.0.1:7720", availabilityZone: "zone-a", writtenAt: storeMilliseconds };
const nestedLevels = 10_000;

/** Value nested more deeply than any process writes. */
const deepValue: unknown = JSON.parse("[".repeat(nestedLevels) + "]".repeat(nestedLevels));

const oddValues = fastCheck.oneof(
    fastCheck.constantFrom(
        deepValue,
        { a: deepValue },
        Number.POSITIVE_INFINITY,
        Number.NEGATIVE_INFINITY,
        2 ** 53 + 1,
        -1,
        0.5,
        "",
        "10.1.0.1:99999",
        "10.1.0.1:65536",
        "10.1.0.1:0",
        "10.1.0.1:-1",
        "10.1.0.1:port",
        "\ud800",
        undefined,
    ),
    fastCheck.jsonValue(),
);

let rows = new MemoryRows();
let logged: readonly unknown[] = [];
let listed: readonly string[] = [];
let agent = new AgentDriver(false);

function replaceField(row: object, field: string, value: unknown): object {
    return { ...row, [field]: value };
}

function createDirectory(): WorkerDirectory {
    const reachability = new StoreReachability({ write: () => undefined });
    return new WorkerDirectory(rows, instance, new MonotonicClock(), reachability, new RandomSource(1));
}

Then(
    "the entries of a good row and of one with a field replaced by any odd value are valid, and the good one is among them",
    () => {
        const field = fastCheck.constantFrom("address", "availabilityZone", "writtenAt");
        fastCheck.assert(
            fastCheck.property(field, oddValues, fastCheck.boolean(), (name, odd, isWholeRow) => {
                const other = { ...goodEntry, address: "10.1.0.2:7720" };
                const values = [isWholeRow ? odd : replaceField(other, name, odd), goodEntry];
                const view = {
                    rows: values.map((value, index) => ({ key: String(index), value, isRemoved: false })),
                    version: 1,
                    storeMilliseconds,
                };
                const entries = listEntries(view);
                assert.ok(entries.some(({ address }) => address === goodEntry.address));
                assert.ok(entries.every(({ address }) => isSocketAddress(address)));
                assert.ok(
                    entries.every(({ availabilityZone: zone }) => zone === undefined || typeof zone === "string"),
                );
            }),
        );
    },
);

Then("a record of a worker with a field replaced by any odd value is refused or valid", () => {
    const registration = { ...createRegistration("life-1"), startedAt: 5 };
    const field = fastCheck.constantFrom("id", "service", "capacity", "labels", "startedAt", "milliCores");
    fastCheck.assert(
        fastCheck.property(field, oddValues, (name, odd) => {
            const value = name === "milliCores"
                ? { ...registration, capacity: replaceField(registration.capacity, name, odd) }
                : replaceField(registration, name, odd);
            const decoded = decodeRegistration(value);
            if (decoded !== undefined) {
                assert.ok(Object.values(decoded.capacity).every(amount => Number.isFinite(amount) && amount >= 0));
                assert.ok(decoded.startedAt === undefined || Number.isSafeInteger(decoded.startedAt));
                JSON.stringify(decoded);
            }
        }),
    );
});

Then(/^an entry row written at (\S+) at store time 1000 names no entry$/, (writtenAt: string) => {
    const value: unknown = { ...goodEntry, writtenAt: JSON.parse(writtenAt) as unknown };
    const view = { rows: [{ key: "a", value, isRemoved: false }], version: 1, storeMilliseconds };
    assert.deepEqual(listEntries(view), []);
});

Then(/^a row with the address (\S+) names no entry$/, (address: string) => {
    const view = {
        rows: [{ key: "a", value: { ...goodEntry, address }, isRemoved: false }],
        version: 1,
        storeMilliseconds,
    };
    assert.deepEqual(listEntries(view), []);
});

Given("a table of entries with a good row and 3 odd ones", async () => {
    rows = new MemoryRows();
    await rows.write(entriesTable, "good", goodEntry);
    await rows.write(entriesTable, "deep", deepValue);
    await rows.write(entriesTable, "large", { ...goodEntry, writtenAt: Number.POSITIVE_INFINITY });
    await rows.write(entriesTable, "port", { ...goodEntry, address: "10.1.0.1:99999" });
});

When("an entry has read the table 3 times", async () => {
    const lines: unknown[] = [];
    const oddRows = new OddRows({ write: (...line) => lines.push(line[2]["key"]) });
    const reachability = new StoreReachability({ write: () => undefined });
    const found: (readonly string[])[] = [];
    void new EntryDirectory(rows, new MonotonicClock(), reachability, entries => {
        found.push(entries.map(({ address }) => address));
    }, oddRows).run({ address: "10.1.0.3:7720", availabilityZone: "zone-a" });
    for (let read = 0; found.length < 3; read += 1) {
        assert.ok(read < 100, "the table was not read 3 times");
        await rows.write(entriesTable, "good", goodEntry);
        await delay(20);
    }
    logged = lines;
    listed = found.at(-1) ?? [];
});

Then("the good row is listed, and each odd one was logged once", () => {
    assert.ok(listed.includes(goodEntry.address));
    assert.deepEqual(logged, ["deep", "large", "port"]);
});

Given(/^a table of workers with (.*) of another writer for the agent$/, async (what: string) => {
    rows = new MemoryRows();
    const values: Readonly<Record<string, unknown>> = {
        "a value nested 10000 levels deep": deepValue,
        "a record with a nested label": { ...createRegistration("life-1"), labels: [deepValue] },
        "a number": 1e300,
    };
    assert.ok(what in values, what);
    await rows.write(workersTable, instance, values[what]);
});

When("the agent records its worker", async () => {
    createDirectory().record(createRegistration("life-1"));
    await delay(2500);
});

Then("the next process of the agent restores it", async () => {
    assert.deepEqual(await createDirectory().readRecorded(), createRegistration("life-1"));
});

Given("an agent that has restored a record with the start {int}", (startedAt: number) => {
    agent = new AgentDriver(false);
    agent.accept({ kind: "worker-restored", registration: { ...createRegistration("life-1"), startedAt } });
});

When("the worker, which has started at {int}, answers and reports", (startedAt: number) => {
    const answer = (): void => agent.answerView({ startedAt, running: [], ended: [] });
    answer();
    agent.advance(200);
    answer();
    agent.accept({
        kind: "worker-reported",
        report: { ...createReport("life-1"), startedAt, workerClock: agent.now, sequence: 9 },
    });
    answer();
    agent.connectEntry();
});

Then("the agent accepts a start order for this worker", () => {
    agent.receiveStarts([createOrder("a1")]);
    agent.advance(1);
    assert.equal(agent.outputs.filter(({ kind }) => kind === "start").length, 1);
});
