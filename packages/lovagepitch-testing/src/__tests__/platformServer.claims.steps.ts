import { Before, Given, Then, When } from "@cucumber/cucumber";
import { ClaimRepository } from "@lovagepitch/platform/claimRepository";
import { createClaimRowKey, type KeyBinding, type KeyClaim } from "@lovagepitch/platform/claimRow";
import { PlatformError } from "@lovagepitch/platform/platformError";
import { RetryPolicy } from "@lovagepitch/platform/retryPolicy";
import type { ConditionalWrite } from "@lovagepitch/platform/tableService";
import { ManualClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { Err, type Result } from "@lovagepitch/utils/result";
import assert from "node:assert/strict";
import { MemoryTable } from "../standIns/memoryPlatform.js";
import { PlatformFaults } from "../standIns/platformFaults.js";
import { codec, createSubmission, startMilliseconds, windowMilliseconds } from "./platformServer.fixture.js";
import { createClaim } from "./platformServer.operations.js";
import { VirtualDelay } from "./platformServer.virtualDelay.js";

/** Counts calls, and can limit the size of transactions and omit the conflicting keys from errors. */
class CountingTable extends MemoryTable {
    public readCount = 0;
    public transactionsInFlight = 0;
    public maximumTransactionsInFlight = 0;
    public namesConflicts = true;
    public maximumWrites = Number.POSITIVE_INFINITY;

    public override async read(key: string): ReturnType<MemoryTable["read"]> {
        this.readCount += 1;
        return super.read(key);
    }

    public override async write(writes: readonly ConditionalWrite[]): ReturnType<MemoryTable["write"]> {
        if (writes.length > this.maximumWrites) {
            return Err(new PlatformError("invalid", "The transaction is too large; split it"));
        }
        this.transactionsInFlight += 1;
        this.maximumTransactionsInFlight = Math.max(this.maximumTransactionsInFlight, this.transactionsInFlight);
        const result = await super.write(writes);
        this.transactionsInFlight -= 1;
        return result.mapErr(error => this.namesConflicts ? error : new PlatformError(error.kind, error.message));
    }
}

type ClaimResult = Result<KeyBinding, PlatformError>;

let delay: VirtualDelay;
let table: CountingTable;
let clock: ManualClock;
let claims: readonly KeyClaim[] = [];
let results: readonly ClaimResult[] = [];
let transactionsBefore = 0;
let firstSubmission = "";

function createProcess(maximumWaitingClaims?: number, seed = 1): ClaimRepository {
    return new ClaimRepository(table, new RetryPolicy(new RandomSource(seed), delay), clock, codec, {
        resubmissionWindowMilliseconds: windowMilliseconds,
        maximumWaitingClaims,
    });
}

function createClaims(count: number, firstSequence = 1): readonly KeyClaim[] {
    return Array.from({ length: count }, (_, index) => createClaim(`key-${index}`, firstSequence + index));
}

async function claimAll(process: ClaimRepository, toClaim: readonly KeyClaim[]): Promise<readonly ClaimResult[]> {
    return Promise.all(toClaim.map(claim => process.claim(claim)));
}

Before(() => {
    delay = new VirtualDelay();
    table = new CountingTable(new PlatformFaults(milliseconds => delay.wait(milliseconds)));
    clock = new ManualClock(startMilliseconds);
    claims = [];
    results = [];
    transactionsBefore = 0;
});

Given("a platform table that takes {int} ms for each call", (slowMilliseconds: number) => {
    table.faults.set({ slowMilliseconds });
});

Given("a platform table that is down", () => {
    table.faults.set({ down: true });
});

Given("a platform table that does not name conflicting rows", () => {
    table.namesConflicts = false;
});

Given("a platform table that refuses transactions of more than {int} writes", (maximumWrites: number) => {
    table.maximumWrites = maximumWrites;
});

Given("{int} keys that another process has bound", async (count: number) => {
    await claimAll(createProcess(), createClaims(count, 5000));
    transactionsBefore = table.transactionCount;
});

When("{int} different keys are claimed concurrently by one process", async (count: number) => {
    claims = createClaims(count);
    results = await claimAll(createProcess(), claims);
});

When("a key is claimed, and {int} more while its transaction is in flight", async (count: number) => {
    claims = createClaims(count + 1);
    const process = createProcess();
    const first = process.claim(claims[0] as KeyClaim);
    await Promise.resolve();
    await Promise.resolve();
    assert.equal(table.transactionsInFlight, 1);
    results = [...await Promise.all([first, ...claims.slice(1).map(claim => process.claim(claim))])];
});

Then(/^the platform table has received (\d+) transactions?(?: for them)?$/, (count: string) => {
    assert.equal(table.transactionCount - transactionsBefore, Number(count));
});

Then("every claim is bound to its own submission", () => {
    assert.deepEqual(results.map(result => result.unwrap().submission), claims.map(claim => claim.submission));
});

Then("at most {int} transaction was in flight at a time", (count: number) => {
    assert.equal(table.maximumTransactionsInFlight, count);
});

Then("{int} rows were read back", (count: number) => {
    assert.equal(table.readCount, count);
});

Then("the {int} bound keys keep their submissions, and the others have their own", (count: number) => {
    const expected = [...createClaims(count, 5000), ...claims.slice(count)];
    assert.deepEqual(results.map(result => result.unwrap().submission), expected.map(claim => claim.submission));
});

When("one process claims a key twice concurrently", async () => {
    const process = createProcess();
    claims = [createClaim("key", 1), createClaim("key", 2)];
    results = await claimAll(process, claims);
});

Then("both claims have the first one's submission after {int} transaction", (count: number) => {
    assert.deepEqual(results.map(result => result.unwrap().submission), [claims[0]?.submission, claims[0]?.submission]);
    assert.equal(table.transactionCount, count);
});

Given("a key that is bound to a job", async () => {
    await createProcess().claim({ ...createClaim("key", 1), jobDigest: "first" });
});

When("the key is claimed for another job", async () => {
    results = [await createProcess().claim({ ...createClaim("key", 2), jobDigest: "second" })];
});

Then("the claim answers with the digest of the first job", () => {
    assert.deepEqual(results[0]?.unwrap(), { submission: createClaim("key", 1).submission, jobDigest: "first" });
});

Then("claims of one key by two teams and for two services have four bindings", async () => {
    const process = createProcess();
    const scopes = [["t1", "s1"], ["t1", "s2"], ["t2", "s1"], ["t2", "s2"]] as const;
    const bound = await Promise.all(scopes.map(async ([team, service], index) => {
        const result = await process.claim({ ...createClaim("key", index), team, service });
        return result.unwrap().submission;
    }));
    assert.equal(new Set(bound).size, scopes.length);
});

When("a process with a queue of {int} claims receives {int} concurrently", async (waiting: number, count: number) => {
    claims = createClaims(count);
    results = await claimAll(createProcess(waiting), claims);
});

Then("{int} claims are bound and {int} are throttled", (bound: number, throttled: number) => {
    assert.equal(results.filter(result => result.ok).length, bound);
    assert.equal(results.filter(result => result.err && result.val.kind === "throttled").length, throttled);
});

Then("every claim is unavailable after the calls of {int} group", (groups: number) => {
    assert.ok(results.every(result => result.err && result.val.kind === "unavailable"));
    assert.equal(table.readCount, groups);
});

Then("every claim is invalid", () => {
    assert.ok(results.length > 0);
    assert.ok(results.every(result => result.err && result.val.kind === "invalid"));
});

Given(
    "a key bound {int} ms ago with a window of {int} ms to a submission that expires {int} ms from now",
    async (ageMilliseconds: number, window: number, expiryMilliseconds: number) => {
        assert.equal(window, windowMilliseconds);
        firstSubmission = createSubmission(1, startMilliseconds + ageMilliseconds + expiryMilliseconds);
        await createProcess().claim({ ...createClaim("key", 1), submission: firstSubmission });
        clock.advanceTo(startMilliseconds + ageMilliseconds);
    },
);

When("the key is claimed again", async () => {
    results = [await createProcess().claim(createClaim("key", 2))];
});

Then(/^the claim has the (first|second) submission$/, (binding: string) => {
    const expected = binding === "first" ? firstSubmission : createClaim("key", 2).submission;
    assert.equal(results[0]?.unwrap().submission, expected);
});

When("{int} processes claim the expired key concurrently", async (processes: number) => {
    results = await Promise.all(Array.from({ length: processes }, (_, index) => {
        return createProcess(undefined, index + 1).claim(createClaim("key", index + 2));
    }));
});

Then("all claims of the expired key have the same new submission", () => {
    const submissions = new Set(results.map(result => result.unwrap().submission));
    assert.equal(submissions.size, 1);
    assert.ok(!submissions.has(firstSubmission));
});

Given("a key whose row is malformed", async () => {
    const key = createClaimRowKey(createClaim("key", 1));
    await table.write([{ key, condition: { kind: "absent" }, value: { submission: 5 } }]);
});

Then("the claim is invalid and names the row", () => {
    const error = results[0]?.val as PlatformError;
    assert.equal(error.kind, "invalid");
    assert.ok(error.message.includes(createClaimRowKey(createClaim("key", 1))));
});
