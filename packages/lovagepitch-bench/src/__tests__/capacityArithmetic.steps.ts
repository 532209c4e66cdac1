import { type DataTable, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    computePlatformRates,
    computeTaskBudget,
    countRequiredEntries,
    countSweepMessages,
    type PlatformLoad,
} from "../capacity/capacityArithmetic.js";
import { fitLeastSquares, type Observation } from "../capacity/fitLeastSquares.js";
import { parseMetrics } from "../capacity/parseMetrics.js";
import { targetDeployment } from "../capacity/targetDeployment.js";

const tolerance = 1e-4;

let observations: readonly Observation[];
let load: PlatformLoad;
let metricsText: string;

Given("the capacity observations", (table: DataTable) => {
    observations = table.rows().map(row => {
        const values = row.map(Number);
        return { inputs: values.slice(0, -1), output: values.at(-1)! };
    });
});

Then("the capacity fit is {float} at 0 with the slopes {string}", (intercept: number, slopes: string) => {
    const fit = fitLeastSquares(observations);
    assertClose(fit.intercept, intercept);
    slopes.split(", ").forEach((slope, position) => assertClose(fit.slopes[position], Number(slope)));
    assert.equal(fit.slopes.length, slopes.split(", ").length);
});

Then("the capacity fit has the residual {float} and explains a share of {float}", (residual: number, share: number) => {
    const fit = fitLeastSquares(observations);
    assertClose(fit.residual, residual);
    assertClose(fit.determination, share);
    assert.equal(fit.points, observations.length);
});

Then("the capacity fit is refused with {string}", (words: string) => {
    assert.throws(() => fitLeastSquares(observations), (error: Error) => error.message.includes(words));
});

Then(
    "the capacity budget of a task is {int} microseconds and {int} bytes at {float} starts per second",
    (microseconds: number, bytes: number, startsPerSecond: number) => {
        const budget = computeTaskBudget(targetDeployment);
        assert.equal(Math.round(budget.microseconds), microseconds);
        assert.equal(Math.round(budget.bytes), bytes);
        assert.equal(Number(budget.startsPerSecond.toFixed(1)), startsPerSecond);
    },
);

Then(
    "{int} starts per second at {int} microseconds each require {int} entries that use {float} of a core",
    (starts: number, microseconds: number, entries: number, share: number) => {
        assert.equal(countRequiredEntries(starts, microseconds, share), entries);
    },
);

Given(
    "a capacity deployment of {int} agents and {int} entries that read the registry every {int} ms",
    (agents: number, entries: number, registryPollMilliseconds: number) => {
        load = {
            agents,
            entries,
            registryPollMilliseconds,
            agentManifestPollMilliseconds: 1,
            agentRenewMilliseconds: 1,
            entryManifestPollMilliseconds: 1,
            entryRenewMilliseconds: 1,
            listingBytesPerAgent: 0,
        };
    },
);

When("its agents poll every {int} ms and renew every {int} ms", (poll: number, renew: number) => {
    load = { ...load, agentManifestPollMilliseconds: poll, agentRenewMilliseconds: renew };
});

When("its entries poll every {int} ms and renew every {int} ms", (poll: number, renew: number) => {
    load = { ...load, entryManifestPollMilliseconds: poll, entryRenewMilliseconds: renew };
});

Then("the platform must serve {int} reads and {int} writes per second", (reads: number, writes: number) => {
    const rates = computePlatformRates(load);
    assertClose(rates.reads, reads);
    assertClose(rates.writes, writes);
});

Then("listings of {int} bytes per agent amount to {int} bytes per second", (bytes: number, sum: number) => {
    assertClose(computePlatformRates({ ...load, listingBytesPerAgent: bytes }).listingBytes, sum);
});

Then(
    "a capacity sweep of {int} agents and {int} submissions takes {int} messages",
    (agents: number, submissions: number, messages: number) => {
        assert.equal(countSweepMessages(agents, submissions), messages);
    },
);

Given("the capacity metrics text", (text: string) => {
    metricsText = text;
});

Then("the parsed capacity metrics are {string}", (expected: string) => {
    const held = [...parseMetrics(metricsText)].map(([name, value]) => `${name}=${value}`);
    assert.equal(held.join(", "), expected);
});

function assertClose(actual: number | undefined, expected: number): void {
    const difference = Math.abs(Number(actual) - expected);
    assert.ok(difference <= tolerance * Math.max(1, Math.abs(expected)), `${actual} is not ${expected}`);
}
