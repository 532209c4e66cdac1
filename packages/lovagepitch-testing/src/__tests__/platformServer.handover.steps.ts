import { Given, Then, When } from "@cucumber/cucumber";
import type { AnswersHandover, LedgerHandover } from "@lovagepitch/types/ledger";
import assert from "node:assert/strict";
import { gzipSync } from "node:zlib";
import { createRepositories, type PlatformFixture, startPlatform } from "./platformServer.fixture.js";

const taskCount = 820;

const ledger: LedgerHandover = {
    incarnation: "a1",
    submissions: [{
        submission: "s1",
        reports: Array.from({ length: taskCount }, (_, index) => ({
            index,
            report: { state: "succeeded" as const, output: { text: "é ✓", nested: [index, { deep: true }] } },
        })),
    }],
    lowWaterMarks: { k1: 1, k2: 2 },
};

const answers: AnswersHandover = {
    incarnation: "e1",
    answers: [{
        submission: "s1",
        jobDigest: "d1",
        answer: {
            submission: "s1",
            state: "failed",
            reason: "the agent was lost",
            configurationVersion: 3,
            tasks: [{ index: 0, state: "may-have-run", worker: "w1", availabilityZone: "z1" }],
            nextSubmission: "s2",
        },
    }],
};

const damagedBodies: Readonly<Record<string, Uint8Array>> = {
    "cut short": gzipSync(JSON.stringify(ledger)).subarray(0, 100),
    "not compressed": Buffer.from(JSON.stringify(ledger)),
    "no JSON": gzipSync("no JSON"),
    "of another shape": gzipSync(JSON.stringify({ ...ledger, submissions: [{ submission: 1 }] })),
    "of another incarnation": gzipSync(JSON.stringify({ ...ledger, incarnation: "a2" })),
};

let platform: PlatformFixture;

When("an agent's ledger and an entry's answers are written to a {string} platform", async (kind: string) => {
    platform = await startPlatform(kind);
    const { handovers } = createRepositories(platform);
    (await handovers.writeLedger(ledger)).unwrap();
    (await handovers.writeAnswers(answers)).unwrap();
});

Then("the same handover objects are read back", async () => {
    const { handovers } = createRepositories(platform);
    assert.deepEqual((await handovers.readLedger("a1")).unwrap(), ledger);
    assert.deepEqual((await handovers.readAnswers("e1")).unwrap(), answers);
});

Then("no handover object is found for a process that wrote none", async () => {
    const { handovers } = createRepositories(platform);
    assert.equal((await handovers.readLedger("e1")).unwrap(), undefined);
    assert.equal((await handovers.readAnswers("a1")).unwrap(), undefined);
    await platform.close();
});

Given(/^a ledger object that is (.*)$/, async (damage: string) => {
    platform = await startPlatform("memory");
    const body = damagedBodies[damage];
    assert.ok(body !== undefined);
    (await platform.objects.put("handover/ledger/a1.json.gz", body)).unwrap();
});

Then("reading the ledger object is invalid", async () => {
    const read = await createRepositories(platform).handovers.readLedger("a1");
    assert.ok(read.err);
    assert.equal(read.val.kind, "invalid");
});
