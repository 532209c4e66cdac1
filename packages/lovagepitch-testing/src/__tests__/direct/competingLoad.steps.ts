import { Then, When } from "@cucumber/cucumber";
import { createEntryPolicies, type EntryPolicies } from "@lovagepitch/direct/policies/entryPolicies";
import assert from "node:assert/strict";
import { competingJobKinds } from "../../direct/jobKinds.js";
import { type LoadSummary, summarizeKind } from "../../direct/loadSummary.js";
import { MixedLoad } from "../../direct/mixedLoad.js";

/** Worth that a load may lose by chance: the standard error over four seeds is up to 0.03. */
const worthTolerance = 0.03;

const seeds = [1, 2];
const variants: Readonly<Record<string, () => EntryPolicies>> = {
    "without shares": () => createEntryPolicies({ refusesEarly: true }),
    "with all of the room assured": () =>
        createEntryPolicies({ refusesEarly: true, queueShares: { assuredPart: 1, weights: {}, otherWeight: 1 } }),
    "without early refusals": () => createEntryPolicies(),
    "with early refusals": () => createEntryPolicies({ refusesEarly: true }),
};

let firstEntryShare = 0;
let results: (readonly LoadSummary[])[] = [];
let violations: string[] = [];

function run(variant: string): void {
    const loads = seeds.map(seed => {
        const load = new MixedLoad({
            entries: 4,
            workers: 21,
            jobKinds: competingJobKinds,
            meanMilliCores: 1700,
            workerKinds: [
                { label: "a", size: 1, speed: 1 },
                { label: "a", size: 1, speed: 1 },
                { label: "b", size: 1.5, speed: 1.3 },
            ],
            rateFactor: 0.5,
            burstKind: "usual",
            burstFactor: 2.2,
            firstEntryShare,
            durationSeconds: 3,
            seed,
            createPolicies: variants[variant]!,
        });
        load.run();
        violations.push(...load.deployment.record.violations);
        return load.listOutcomes();
    });
    const outcomes = loads.flat();
    results.push(competingJobKinds.map(({ name }) => summarizeKind(outcomes.filter(({ kind }) => kind === name))));
}

function getSummary(index: number, kind: string): LoadSummary {
    return results[index]![competingJobKinds.findIndex(({ name }) => name === kind)]!;
}

/** Worth of the load; the kinds have equal value, and the burst multiplies that of the usual one. */
function computeWorth(index: number): number {
    const [urgent, usual, long] = results[index]!.map(({ worth }) => worth);
    return (urgent! + 2.2 * usual! + long!) / 4.2;
}

When(
    /^the competing mix with a burst of its usual queue(, half of it at one entry,)? runs for 3 s (.+)$/,
    (atOneEntry: string | null, variant: string) => {
        firstEntryShare = atOneEntry === null ? 0 : 0.5;
        results = [];
        violations = [];
        run(variant);
    },
);

When(/^the same load runs (.+)$/, (variant: string) => run(variant));

Then("the shares raise the worth of the long queue by at least {float}", (difference: number) => {
    const [before, after] = [getSummary(0, "long").worth, getSummary(1, "long").worth];
    assert.ok(after >= before + difference, `${before} before, ${after} after`);
});

Then(/^(?:the shares|early refusals) do not lower the worth of the load$/, () => {
    const [before, after] = [computeWorth(0), computeWorth(1)];
    assert.ok(after >= before - worthTolerance, `${before} before, ${after} after`);
});

Then("half of the refusals of the long queue come at least {int} ms earlier", (milliseconds: number) => {
    const [before, after] = [0, 1].map(index => getSummary(index, "long").refusedAfterMedian);
    assert.ok((after ?? 0) <= before! - milliseconds, `${before} ms before, ${after} ms after`);
});

Then("the guarantees of the competing load hold", () => {
    assert.deepEqual(violations, []);
});
