/**
 * Runs the bench of direct jobs in one process and writes bench-direct.md to the output directory, `docs` by default.
 */
import { createEntryPolicies, type EntryPolicies } from "@lovagepitch/direct/policies/entryPolicies";
import { SpreadSelection } from "@lovagepitch/direct/policies/spreadSelection";
import { defaultJobKinds, type JobKind } from "@lovagepitch/testing/direct/jobKinds";
import { type KindResult, MixedLoad } from "@lovagepitch/testing/direct/mixedLoad";
import { writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { directLoadProfiles, type LoadProfile } from "./directLoadProfiles.js";

const { values } = parseArgs({
    options: {
        seconds: { type: "string", default: "6" },
        seeds: { type: "string", default: "1,2,3" },
        output: { type: "string", default: "docs" },
        /** Only loads whose name contains this text. */
        only: { type: "string", default: "" },
        /** Policy that is replaced by the one without the part: `speed`. */
        without: { type: "string", default: "" },
    },
});
const seconds = Number(values.seconds);
const seeds = values.seeds.split(",").map(Number);

const rows: string[] = [];
for (const profile of directLoadProfiles.filter(({ name }) => name.includes(values.only))) {
    const kinds = profile.jobKinds ?? defaultJobKinds;
    const loads = seeds.map(seed => runLoad(profile, seed));
    rows.push(formatRow(profile.name, kinds, loads.map(load => kinds.map(kind => load.countJobs(kind.name)))));
    console.log(rows.at(-1));
    for (const [name, takesByPriority] of [["ideal, by arrival", false], ["ideal, by priority", true]] as const) {
        const results = loads.map(load => kinds.map(kind => load.countIdealJobs(kind.name, takesByPriority)));
        rows.push(formatRow(name, kinds, results));
        console.log(rows.at(-1));
    }
}

const kindNames = defaultJobKinds.map(kind => `${kind.name}, priority ${kind.priority}`);
if (values.only === "" && values.without === "") {
    writeFileSync(
        `${values.output}/bench-direct.md`,
        `# Direct jobs under load

Written by \`npm run bench:direct -- --seconds ${seconds} --seeds ${
            seeds.join(",")
        }\`: the real cores of entries and agents in one process,
with workers of 16 cores on a moved clock. The usual mix takes 79 % of eleven workers; the mixes of two further customers
run at a third of their size. Each cell: share of the jobs that were done within their objective / done later / refused.
Worth: mean of the kinds' shares of worth, with the standard error over the seeds. Below each load, the same jobs in an ideal
central queue that knows run times and speeds.

| load | ${kindNames.join(" | ")} | worth |
|---|${kindNames.map(() => "---|").join("")}---|
${rows.join("\n")}
`,
    );
}

function runLoad(profile: LoadProfile, seed: number): MixedLoad {
    const load = new MixedLoad({ ...profile, durationSeconds: seconds, seed, createPolicies });
    load.run();
    return load;
}

function createPolicies(): EntryPolicies {
    const policies = createEntryPolicies();
    return values.without === "speed" ? { ...policies, workerSelection: new SpreadSelection() } : policies;
}

function formatRow(name: string, kinds: readonly JobKind[], results: readonly (readonly KindResult[])[]): string {
    const cells = kinds.map((_, index) => formatKind(results.flatMap(ofSeed => ofSeed[index] ?? [])));
    const worths = results.map(ofSeed => ofSeed.reduce((sum, result) => sum + result.worth, 0) / ofSeed.length);
    return `| ${name} | ${cells.join(" | ")} | ${formatMean(worths)} |`;
}

function formatMean(figures: readonly number[]): string {
    const mean = figures.reduce((sum, figure) => sum + figure, 0) / figures.length;
    const squares = figures.reduce((sum, figure) => sum + (figure - mean) ** 2, 0);
    const standardError = figures.length > 1 ? Math.sqrt(squares / (figures.length - 1) / figures.length) : 0;
    return `${mean.toFixed(3)} ± ${standardError.toFixed(3)}`;
}

function formatKind(results: readonly KindResult[]): string {
    const sum = (read: (result: KindResult) => number): number => {
        return results.reduce((total, result) => total + read(result), 0);
    };
    const jobs = sum(result => result.jobs);
    const counts = [sum(result => result.inTime), sum(result => result.late), sum(result => result.refused)];
    return counts.map(count => (count / jobs).toFixed(3)).join(" / ");
}
