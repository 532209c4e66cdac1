/**
 * Runs the load of callers that compete for room in one process and prints a table by kind of jobs.
 */
import { createEntryPolicies, type EntryPolicies } from "@lovagepitch/direct/policies/entryPolicies";
import { competingJobKinds, defaultJobKinds, type JobKind } from "@lovagepitch/testing/direct/jobKinds";
import { type LoadSummary, summarizeKind } from "@lovagepitch/testing/direct/loadSummary";
import { MixedLoad, type MixedLoadOptions } from "@lovagepitch/testing/direct/mixedLoad";
import { parseArgs } from "node:util";

type LoadShape = Omit<MixedLoadOptions, "seed" | "durationSeconds"> & {
    readonly name: string;
    readonly jobKinds: readonly JobKind[];
};

const competing = {
    entries: 4,
    workers: 24,
    jobKinds: competingJobKinds,
    meanMilliCores: 1700,
    workerKinds: [{ label: "a", size: 1, speed: 1 }, { label: "a", size: 1, speed: 1 }, {
        label: "b",
        size: 1.5,
        speed: 1.3,
    }],
    rateFactor: 1 / 3,
};

/** The mix by itself, with a burst of each kind in turn, with a seventh of the workers lost, and in more demand. */
const competingLoads: readonly LoadShape[] = [
    { name: "calm", ...competing },
    { name: "a seventh lost", ...competing, workers: 21 },
    ...competingJobKinds.flatMap(({ name }): LoadShape[] => {
        const burst = { ...competing, burstKind: name, burstFactor: 2.2 };
        return [
            { ...burst, name: `burst of ${name}` },
            { ...burst, name: `burst of ${name}, a seventh lost`, workers: 21 },
        ];
    }),
    { name: "all times 1.7, a seventh lost", ...competing, rateFactor: 1.7 / 3, workers: 21 },
    ...competingJobKinds.map(({ name }): LoadShape => ({
        ...competing,
        name: `all times 1.5, burst of ${name}, a seventh lost`,
        rateFactor: 1.5 / 3,
        workers: 21,
        burstKind: name,
        burstFactor: 2.2,
    })),
];

/** The loads of bench-direct.md. */
const usualLoads: readonly LoadShape[] = [
    { name: "usual", entries: 4, workers: 11, rateFactor: 1, jobKinds: defaultJobKinds },
    { name: "burst of 1.3", entries: 4, workers: 11, rateFactor: 1.3, jobKinds: defaultJobKinds },
    { name: "burst of 1.6", entries: 4, workers: 11, rateFactor: 1.6, jobKinds: defaultJobKinds },
    { name: "two workers lost", entries: 4, workers: 9, rateFactor: 1, jobKinds: defaultJobKinds },
    { name: "burst of 1.3, two workers lost", entries: 4, workers: 9, rateFactor: 1.3, jobKinds: defaultJobKinds },
];

const { values } = parseArgs({
    options: {
        seconds: { type: "string", default: "6" },
        seeds: { type: "string", default: "1,2,3" },
        loads: { type: "string", default: "competing" },
        only: { type: "string", default: "" },
        policies: { type: "string", default: "as before" },
    },
});

/** Sets of policies that can be compared. */
const policySets: Readonly<Record<string, () => EntryPolicies>> = {
    "as before": () => createEntryPolicies(),
    "early refusals": () => createEntryPolicies({ refusesEarly: true }),
    "half assured": () =>
        createEntryPolicies({ refusesEarly: true, queueShares: { assuredPart: 0.5, weights: {}, otherWeight: 1 } }),
    "all assured": () =>
        createEntryPolicies({ refusesEarly: true, queueShares: { assuredPart: 1, weights: {}, otherWeight: 1 } }),
};

const createPolicies = policySets[values.policies];
if (createPolicies === undefined) {
    throw new Error(`unknown set of policies; use one of ${Object.keys(policySets).join(", ")}`);
}
const seeds = values.seeds.split(",").map(Number);
const totals: number[][] = [];
console.log("| load | kind | in time / late / refused / lost | worth | largest tenth | refused after, median / 99 % |");
console.log("|---|---|---|---|---|---|");
for (const { name, ...shape } of values.loads === "competing" ? competingLoads : usualLoads) {
    if (!name.includes(values.only)) {
        continue;
    }
    const runs = seeds.map(seed => runLoad(shape, seed));
    shape.jobKinds.forEach((kind, index) => {
        console.log(formatKind(name, kind.name, runs.map(run => run[index]!)));
    });
    const worths = runs.map(run => computeTotal(shape, run));
    totals.push(worths);
    console.log(`| ${name} | all | ${worths.map(worth => worth.toFixed(3)).join(" / ")} | ${formatMean(worths)} | | |`);
}
console.log(
    `| mean | all | | ${formatMean(seeds.map((_, index) => mean(totals.map(worths => worths[index]!))))} | | |`,
);

function runLoad(shape: Omit<LoadShape, "name">, seed: number): readonly LoadSummary[] {
    const load = new MixedLoad({
        ...shape,
        durationSeconds: Number(values.seconds),
        seed,
        ...createPolicies === undefined ? {} : { createPolicies },
    });
    load.run();
    const [violation] = load.deployment.record.violations;
    if (violation !== undefined) {
        throw new Error(violation);
    }
    const outcomes = load.listOutcomes();
    return shape.jobKinds.map(kind => summarizeKind(outcomes.filter(outcome => outcome.kind === kind.name)));
}

/** Computes the worth of all jobs; without a burst the kinds have the same value in total. */
function computeTotal(shape: Omit<LoadShape, "name">, run: readonly LoadSummary[]): number {
    const weights = shape.jobKinds.map(({ name }) => name === shape.burstKind ? shape.burstFactor ?? 1 : 1);
    const sum = weights.reduce((total, weight) => total + weight, 0);
    return run.reduce((total, { worth }, index) => total + worth * weights[index]!, 0) / sum;
}

function formatKind(load: string, kind: string, runs: readonly LoadSummary[]): string {
    const shares = [
        runs.map(run => run.inTime),
        runs.map(run => run.late),
        runs.map(run => run.refused),
        runs.map(run => run.lost),
    ].map(values => mean(values).toFixed(3)).join(" / ");
    const refusals = [
        runs.flatMap(run => run.refusedAfterMedian ?? []),
        runs.flatMap(run => run.refusedAfter99thPercentile ?? []),
    ].map(times => times.length === 0 ? "-" : mean(times).toFixed(0)).join(" / ");
    const worth = formatMean(runs.map(run => run.worth));
    return `| ${load} | ${kind} | ${shares} | ${worth} | ${
        formatMean(runs.map(run => run.largestWorth))
    } | ${refusals} |`;
}

function formatMean(numbers: readonly number[]): string {
    const average = mean(numbers);
    const variance = numbers.reduce((sum, number) => sum + (number - average) ** 2, 0)
        / Math.max(1, numbers.length - 1);
    return `${average.toFixed(3)} ± ${Math.sqrt(variance / numbers.length).toFixed(3)}`;
}

function mean(numbers: readonly number[]): number {
    return numbers.reduce((sum, number) => sum + number, 0) / Math.max(1, numbers.length);
}
