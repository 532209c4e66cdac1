/**
 * Formats the results of the bench as a Markdown page.
 */
import { type LoadMeasurement, ownPolicy } from "../policy/measureLoad.js";
import type { ScenarioResult } from "../policy/scenarios.js";

/** A limit that a measured value is compared with, at some loads. */
interface BenchTarget {
    readonly name: string;
    readonly loads: readonly number[];
    readonly limit: number;
    readonly isMet: (value: number, limit: number) => boolean;
    readonly readValue: (measurement: LoadMeasurement) => number;
}

const isAtMost = (value: number, limit: number): boolean => value <= limit;
const isAtLeast = (value: number, limit: number): boolean => value >= limit;

const targets: readonly BenchTarget[] = [
    { name: "mean over central", loads: [0.5], limit: 1.01, isMet: isAtMost, readValue: readMean },
    { name: "mean over central", loads: [0.8], limit: 1.03, isMet: isAtMost, readValue: readMean },
    { name: "mean over central", loads: [0.95], limit: 1.05, isMet: isAtMost, readValue: readMean },
    {
        name: "99 % over central",
        loads: [0.3, 0.5, 0.8, 0.95],
        limit: 1.1,
        isMet: isAtMost,
        readValue: readPercentile99,
    },
    {
        name: "wasted messages a task",
        loads: [0.3, 0.5, 0.8, 0.95],
        limit: 0.1,
        isMet: isAtMost,
        readValue: one => one.wastedPerTask,
    },
    {
        name: "extra caller messages",
        loads: [0.3, 0.5, 0.8, 0.95],
        limit: 0,
        isMet: isAtMost,
        readValue: one => one.extraCallerMessages,
    },
    {
        name: "useful share of the capacity",
        loads: [1.2],
        limit: 0.95,
        isMet: isAtLeast,
        readValue: one => one.usefulShare,
    },
];

/** Results and parameters of a bench run. */
export interface ReportContent {
    readonly command: string;
    readonly jobs: number;
    readonly seeds: readonly number[];
    readonly measurements: readonly LoadMeasurement[];
    readonly scenarios: readonly ScenarioResult[];
}

/**
 * Creates the report.
 *
 * @param content - results and parameters of the bench run
 * @returns Markdown text
 */
export function createReport(content: ReportContent): string {
    const { command, jobs, seeds, measurements, scenarios } = content;
    return [
        "# Policy bench",
        "",
        `Made by \`${command}\`: ${jobs} jobs a run, seeds ${
            seeds.join(", ")
        }; each figure is the median of the seeds.`,
        "The real decision code of entries and agents runs on a clock of its own with fakes at its interfaces; all",
        "policies of a run share the same arrivals. *Ideal* is the longest task plus one round trip of the caller and one",
        "between availability zones. *Central* is one first-come queue before all slots without any network; where small",
        "jobs overtake large ones the own mean can be below it.",
        "Wasted messages count refused starts and their refusals, declined offers and their refusals unless both rode on",
        "other messages, withdrawn bids and resends.",
        "",
        "![Mean response over ideal against load](bench.svg)",
        "",
        "## Targets",
        "",
        ...createTargetTable(measurements),
        "",
        "## Loads",
        "",
        ...createLoadTable(measurements),
        "",
        "## Scenarios",
        "",
        ...createScenarioTable(scenarios),
        "",
    ].join("\n");
}

function readMean(measurement: LoadMeasurement): number {
    return findOwnPolicy(measurement).meanOverCentral;
}

function readPercentile99(measurement: LoadMeasurement): number {
    return findOwnPolicy(measurement).percentile99OverCentral;
}

function findOwnPolicy(measurement: LoadMeasurement): LoadMeasurement["policies"][number] {
    return measurement.policies.find(one => one.policy === ownPolicy)!;
}

function createTargetTable(measurements: readonly LoadMeasurement[]): readonly string[] {
    const lines = ["| target | load | limit | deployment | measured | met |", "|---|---|---|---|---|---|"];
    for (const target of targets) {
        for (const load of target.loads) {
            for (const [deployment, runs] of groupByDeployment(measurements, load)) {
                const value = computeMedian(runs.map(target.readValue));
                const met = target.isMet(value, target.limit) ? "yes" : "**no**";
                lines.push(
                    `| ${target.name} | ${load} | ${target.limit} | ${deployment} | ${value.toFixed(3)} | ${met} |`,
                );
            }
        }
    }
    return lines;
}

function createLoadTable(measurements: readonly LoadMeasurement[]): readonly string[] {
    const lines = [
        "| deployment | load | policy | mean | median | 99 % | over central | complete | refused | failed "
        + "| messages a task | wasted a task | useful share | team spread |",
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|",
    ];
    for (const load of [...new Set(measurements.map(one => one.load))]) {
        for (const [deployment, runs] of groupByDeployment(measurements, load)) {
            lines.push(...createLoadRows(deployment, load, runs));
        }
    }
    return lines;
}

function createLoadRows(deployment: string, load: number, runs: readonly LoadMeasurement[]): readonly string[] {
    const formatMedian = (read: (run: LoadMeasurement) => number, digits: number): string =>
        computeMedian(runs.map(read)).toFixed(digits);
    return runs[0]!.policies.map((policy, position) => {
        const ratios = [
            formatMedian(run => run.policies[position]!.ratios.mean, 3),
            formatMedian(run => run.policies[position]!.ratios.median, 3),
            formatMedian(run => run.policies[position]!.ratios.percentile99, 3),
            formatMedian(run => run.policies[position]!.meanOverCentral, 3),
            formatMedian(run => run.policies[position]!.ratios.jobCount, 0),
        ];
        const ownPolicyCells = policy.policy !== ownPolicy ? ["", "", "", "", "", ""] : [
            formatMedian(run => run.run.refusals.length, 0),
            formatMedian(run => run.run.failedJobs, 0),
            formatMedian(run => run.batchesPerTask, 2),
            formatMedian(run => run.wastedPerTask, 3),
            formatMedian(run => run.usefulShare, 3),
            formatMedian(run => run.teamSpread, 3),
        ];
        return `| ${[deployment, load, policy.policy, ...ratios, ...ownPolicyCells].join(" | ")} |`;
    });
}

function createScenarioTable(scenarios: readonly ScenarioResult[]): readonly string[] {
    const lines = [
        "| scenario | deployment | complete | refused | failed | slowest refusal | useful share | wasted a task |",
        "|---|---|---|---|---|---|---|---|",
    ];
    for (const one of scenarios) {
        const cells = [
            `${one.name}: ${one.description}`,
            one.deployment,
            one.completeJobs,
            one.refusedJobs,
            one.failedJobs,
            `${one.slowestRefusalMilliseconds.toFixed(0)} ms`,
            one.usefulShare.toFixed(3),
            one.wastedPerTask.toFixed(3),
        ];
        lines.push(`| ${cells.join(" | ")} |`);
    }
    return lines;
}

function groupByDeployment(
    measurements: readonly LoadMeasurement[],
    load: number,
): ReadonlyMap<string, readonly LoadMeasurement[]> {
    const groups = new Map<string, LoadMeasurement[]>();
    for (const measurement of measurements.filter(one => one.load === load)) {
        const group = groups.get(measurement.deployment) ?? [];
        group.push(measurement);
        groups.set(measurement.deployment, group);
    }
    return groups;
}

function computeMedian(values: readonly number[]): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.floor((sorted.length - 1) / 2)] ?? Number.NaN;
}
