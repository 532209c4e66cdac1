import { Given, Then, When } from "@cucumber/cucumber";
import { ManualClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import fc from "fast-check";
import assert from "node:assert/strict";
import type { SubmissionIdentityKind } from "../clientOptions.js";
import type { JobResult } from "../jobResult.js";
import { LovagepitchClient } from "../lovagepitchClient.js";
import { FaultyEntries, type NetworkFault } from "./faultyEntries.js";
import { describeRequests, ManualDelay, sampleJob, ScriptedTransport } from "./scriptedTransport.js";

const startMilliseconds = 1_700_000_000_000;
const entries = ["http://entry-A", "http://entry-B"];

let clock: ManualClock;
let delay: ManualDelay;
let transport: ScriptedTransport;
let client: LovagepitchClient;
let result: JobResult;

Given(
    "a client with {string} and two entries that respond with {string}",
    (identity: SubmissionIdentityKind, script: string) => {
        clock = new ManualClock(startMilliseconds);
        delay = new ManualDelay(clock);
        transport = new ScriptedTransport(clock, script.split("; "));
        const environment = { transport, clock, delay, random: new RandomSource(1) };
        client = new LovagepitchClient({ entries, identity, idBatchSize: 1 }, environment);
    },
);

Given("the client's attempt timeout is {int} ms", (attemptTimeoutMilliseconds: number) => {
    const environment = { transport, clock, delay, random: new RandomSource(1) };
    client = new LovagepitchClient({ entries, identity: "issued-ids", attemptTimeoutMilliseconds }, environment);
});

When("the client runs a job", async () => {
    result = await client.runJob(sampleJob);
});

When(
    /^the client runs a job under (?:the key "(.*)"|a key of its own)(?: for at most (\d+) ms)?$/,
    async (key: string | undefined, limit: number | undefined) => {
        result = await client.runJob(sampleJob, {
            ...(typeof key === "string" ? { key } : {}),
            ...(typeof limit === "number" ? { timeLimitMilliseconds: limit } : {}),
        });
    },
);

When("the client runs {int} jobs one after another", async (count: number) => {
    for (let job = 0; job < count; job += 1) {
        result = await client.runJob(sampleJob);
    }
});

When("the client runs {int} jobs at once", async (count: number) => {
    const results = await Promise.all(Array.from({ length: count }, () => client.runJob(sampleJob)));
    assert.ok(results.every(({ kind }) => kind === "complete"));
});

When("the client's clock advances by {int} ms", (milliseconds: number) => {
    clock.advanceTo(clock.nowMilliseconds() + milliseconds);
});

Then("the client's result is {string}", (kind: string) => {
    assert.equal(result.kind, kind, JSON.stringify(result));
    if (result.kind === "refused") {
        assert.equal(result.problem.execution, "not-run");
        assert.ok(result.problem.remedy.length > 0);
    }
});

Then("the client's requests were {string}", (expected: string) => {
    assert.equal(describeRequests(transport.requests), expected);
});

Then("every attempt of one identity carried the same body", () => {
    const bodies = new Set(transport.requests.filter(request => request.method === "PUT").map(({ body }) => body));
    assert.equal(bodies.size, 1);
});

Then("the client's clock has advanced by at most {int} ms", (limit: number) => {
    assert.ok(clock.nowMilliseconds() - startMilliseconds <= limit);
});

Then("the client waited between {int} and {int} ms once", (least: number, most: number) => {
    assert.equal(delay.waits.length, 1);
    assert.ok(delay.waits.every(wait => wait >= least && wait <= most), String(delay.waits));
});

Then(
    "the client's waits are at most {int} ms and their upper bound doubles from {int} ms",
    (longest: number, first: number) => {
        assert.ok(delay.waits.length > 8);
        delay.waits.forEach((wait, index) => assert.ok(wait <= Math.min(longest, first * 2 ** index), String(wait)));
        assert.ok(Math.max(...delay.waits) > longest / 2);
    },
);

Then(
    "the client counted {int} id request(s), {int} submissions and {int} resubmissions",
    (issues: number, submissions: number, resubmissions: number) => {
        assert.deepEqual(client.messages, { issues, submissions, resubmissions });
    },
);

Then("no id was used twice", () => {
    const paths = transport.requests.filter(request => request.method === "PUT").map(request => request.path);
    assert.equal(new Set(paths).size, paths.length);
});

async function runAgainstFaults(
    identity: SubmissionIdentityKind,
    key: string | undefined,
    faults: readonly NetworkFault[],
): Promise<void> {
    const faultClock = new ManualClock(startMilliseconds);
    const faultyEntries = new FaultyEntries(faultClock, faults);
    const faultClient = new LovagepitchClient({ entries, identity }, {
        transport: faultyEntries,
        clock: faultClock,
        delay: new ManualDelay(faultClock),
        random: new RandomSource(faults.length + 1),
    });
    const jobResult = await faultClient.runJob(sampleJob, key === undefined ? {} : { key });
    const startCount = [...faultyEntries.states.values()].filter(state => state === "started").length;
    assert.ok(startCount <= 1, "started twice");
    assert.ok(jobResult.kind !== "complete" || startCount === 1, "complete without a start");
    assert.ok(jobResult.kind !== "refused" || startCount === 0, "refused after a start");
    assert.notEqual(jobResult.kind, "failed");
}

Then(
    "{int} jobs against entries with random faults from seed {int} start at most once and have correct results",
    async (numRuns: number, seed: number) => {
        const fault = fc.constantFrom<NetworkFault>(
            "none",
            "unsent",
            "lost-request",
            "lost-answer",
            "silent",
            "overloaded",
            "unknown-yet",
        );
        const property = fc.asyncProperty(
            fc.constantFrom<SubmissionIdentityKind>("issued-ids", "caller-keys"),
            fc.constantFrom("k1", undefined),
            fc.array(fault, { maxLength: 30 }),
            runAgainstFaults,
        );
        await fc.assert(property, { numRuns, seed });
    },
);
