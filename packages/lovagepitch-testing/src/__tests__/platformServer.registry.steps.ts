import { Before, Given, Then, When } from "@cucumber/cucumber";
import { PlatformError } from "@lovagepitch/platform/platformError";
import { RegistryRepository } from "@lovagepitch/platform/registryRepository";
import { RetryPolicy } from "@lovagepitch/platform/retryPolicy";
import type { ConditionalWrite, TableRow } from "@lovagepitch/platform/tableService";
import { ManualClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import type { Result } from "@lovagepitch/utils/result";
import assert from "node:assert/strict";
import { MemoryTable } from "../standIns/memoryPlatform.js";
import { startMilliseconds, windowMilliseconds } from "./platformServer.fixture.js";
import { createAgent } from "./platformServer.operations.js";
import { VirtualDelay } from "./platformServer.virtualDelay.js";

const counterKey = "registry/numbering/counter";
const pendingPrefix = "registry/numbering/pending/";
const malformedKey = "registry/agent/malformed";

/** Counts its reads, records the largest transaction, and calls a function after each listing. */
class ObservedTable extends MemoryTable {
    public readCount = 0;
    public namesConflicts = true;
    public largestTransaction = 0;
    public afterListing: () => Promise<void> = () => Promise.resolve();

    public override async read(key: string): ReturnType<MemoryTable["read"]> {
        this.readCount += 1;
        return super.read(key);
    }

    public override async write(writes: readonly ConditionalWrite[]): ReturnType<MemoryTable["write"]> {
        this.largestTransaction = Math.max(this.largestTransaction, writes.length);
        const result = await super.write(writes);
        return result.mapErr(error => this.namesConflicts ? error : new PlatformError(error.kind, error.message));
    }

    public override async list(prefix: string): ReturnType<MemoryTable["list"]> {
        const rows = await super.list(prefix);
        await this.afterListing();
        return rows;
    }
}

let table: ObservedTable;
let clock: ManualClock;
let registry: RegistryRepository;
let callsBefore = { reads: 0, writes: 0 };

function startProcess(): RegistryRepository {
    return new RegistryRepository(table, new RetryPolicy(new RandomSource(1), new VirtualDelay()), clock);
}

function advanceClock(milliseconds: number): void {
    clock.advanceTo(clock.nowMilliseconds() + milliseconds);
}

function assertKind(result: Result<unknown, PlatformError>, kind: string): void {
    assert.ok(result.err);
    assert.equal(result.val.kind, kind, result.val.message);
}

Before(() => {
    table = new ObservedTable();
    clock = new ManualClock(startMilliseconds);
    registry = startProcess();
});

Given("a platform registry with agents {string}", async (agents: string) => {
    for (const incarnation of agents.split(", ")) {
        (await registry.registerAgent(createAgent(incarnation))).unwrap();
    }
});

When("agent {string} is marked as left in the platform registry", async (incarnation: string) => {
    (await registry.markAgentLeft(incarnation)).unwrap();
});

When("agent {string} registers in the platform registry", async (incarnation: string) => {
    const registration = { ...createAgent(incarnation), renewedAtMilliseconds: clock.nowMilliseconds() };
    (await registry.registerAgent(registration)).unwrap();
});

When("agent {string} renews {int} ms later", async (incarnation: string, milliseconds: number) => {
    advanceClock(milliseconds);
    callsBefore = { reads: table.readCount, writes: table.transactionCount };
    (await registry.renewAgent(incarnation)).unwrap();
});

When("{int} ms pass and expired registry rows are removed", async (milliseconds: number) => {
    advanceClock(milliseconds);
    (await registry.removeExpired(clock.nowMilliseconds(), windowMilliseconds)).unwrap();
});

When(
    "{int} ms pass and a process that has just started removes expired registry rows",
    async (milliseconds: number) => {
        advanceClock(milliseconds);
        (await startProcess().removeExpired(clock.nowMilliseconds(), windowMilliseconds)).unwrap();
    },
);

When(
    "{int} ms pass and agent {string} renews between the listing and the removal of expired rows",
    async (milliseconds: number, incarnation: string) => {
        advanceClock(milliseconds);
        table.afterListing = async () => {
            (await startProcess().renewAgent(incarnation)).unwrap();
        };
        const removed = await registry.removeExpired(clock.nowMilliseconds(), windowMilliseconds);
        assert.equal(removed.unwrap(), 0);
        table.afterListing = () => Promise.resolve();
    },
);

When("the table is down for {int} ms while the registry is read", async (milliseconds: number) => {
    table.faults.set({ down: true });
    advanceClock(milliseconds);
    assertKind(await registry.read(), "unavailable");
    table.faults.clear();
});

Given("the platform registry's counter was deleted", async () => {
    await table.write([{ key: counterKey, condition: { kind: "always" }, value: undefined }]);
});

Given(
    "a pending row of agent {string} that is {int} ms old in the platform registry",
    async (incarnation: string, ageMilliseconds: number) => {
        const renewedAtMilliseconds = clock.nowMilliseconds() - ageMilliseconds;
        const value = { ...createAgent(incarnation), renewedAtMilliseconds };
        (await table.write([{ key: pendingPrefix + incarnation, condition: { kind: "absent" }, value }])).unwrap();
    },
);

Given("{int} pending rows of other agents in the platform registry", async (count: number) => {
    const rows = Array.from({ length: count }, (_, index): ConditionalWrite => ({
        key: `${pendingPrefix}other-${index}`,
        condition: { kind: "absent" },
        value: createAgent(`other-${index}`),
    }));
    (await table.write(rows)).unwrap();
});

When(
    "a group of {int} agents registers in the platform registry in one transaction of at most {int} writes",
    async (count: number, maximumWrites: number) => {
        const group = Array.from({ length: count }, (_, index) => createAgent(`grouped-${index}`));
        const transactionsBefore = table.transactionCount;
        (await registry.registerAgents(group)).unwrap();
        assert.equal(table.transactionCount - transactionsBefore, 1);
        assert.ok(table.largestTransaction <= maximumWrites, `${table.largestTransaction} writes`);
    },
);

Then("the platform registry has {int} agents with numbers from 1 without gaps", async (count: number) => {
    const numbers = (await registry.read()).unwrap().agents.map(agent => agent.number);
    const sorted = numbers.sort((left, right) => left - right);
    assert.deepEqual(sorted, Array.from({ length: count }, (_, index) => index + 1));
});

Given("a registry table that does not name conflicting rows", () => {
    table.namesConflicts = false;
});

Then("the platform registry has no pending rows", async () => {
    assert.deepEqual((await table.list(pendingPrefix)).unwrap(), []);
});

Then("registering agent {string} returns the number in its row", async (incarnation: string) => {
    const number = (await startProcess().registerAgent(createAgent(incarnation))).unwrap();
    const agent = (await registry.read()).unwrap().agents.find(row => row.incarnation === incarnation);
    assert.equal(number, agent?.number);
});

Given("a malformed row of an agent in the platform registry", async () => {
    await table.write([{ key: malformedKey, condition: { kind: "absent" }, value: { number: "one" } }]);
});

Then(
    /^the platform registry has version (\d+) and shows agent "(\w+)" as (left|serving) with number (\d+)$/,
    async (version: string, incarnation: string, state: string, number: string) => {
        const read = (await registry.read()).unwrap();
        const agent = read.agents.find(candidate => candidate.incarnation === incarnation);
        assert.equal(read.version, Number(version));
        assert.equal(agent?.state, state);
        assert.equal(agent?.number, Number(number));
    },
);

Then("the platform registry has agents {string}", async (agents: string) => {
    const read = (await registry.read()).unwrap();
    assert.equal(read.agents.map(agent => agent.incarnation).join(", "), agents);
});

Then("registering agent {string} again is a conflict", async (incarnation: string) => {
    assertKind(await registry.registerAgent(createAgent(incarnation)), "conflict");
});

Then("renewing agent {string} is a conflict", async (incarnation: string) => {
    assertKind(await registry.renewAgent(incarnation), "conflict");
});

Then("reading the platform registry is invalid and names the row", async () => {
    const read = await registry.read();
    assertKind(read, "invalid");
    assert.ok((read.val as PlatformError).message.includes(malformedKey));
});

Then("the renewal took {int} write and {int} reads", async (writes: number, reads: number) => {
    assert.equal(table.transactionCount - callsBefore.writes, writes);
    assert.equal(table.readCount - callsBefore.reads, reads);
    const rows: readonly TableRow[] = (await table.list("registry/agent/")).unwrap();
    assert.equal(rows.length, 1);
});
