/**
 * Runs the policy bench and writes bench.md and bench.svg to the output directory, `docs` by default.
 */
import { writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { association, cooperative, slotsPerWorker, workerCount } from "./policy/deployments.js";
import { type LoadMeasurement, measureLoad, ownPolicy } from "./policy/measureLoad.js";
import { runScenario, type ScenarioResult, scenarios } from "./policy/scenarios.js";
import { createPlot } from "./report/createPlot.js";
import { createReport } from "./report/createReport.js";
import { createWorkload } from "./workload/createWorkload.js";

const loads = [0.3, 0.5, 0.8, 0.95, 1.2];
const steadyDeadlineMilliseconds = 120_000;
const overloadDeadlineMilliseconds = 10_000;

const { values } = parseArgs({
    options: {
        jobs: { type: "string", default: "3000" },
        seeds: { type: "string", default: "1,2,3" },
        output: { type: "string", default: "docs" },
    },
});
const jobs = Number(values.jobs);
const seeds = values.seeds.split(",").map(Number);
const deployments = [cooperative, association];

const measurements: LoadMeasurement[] = [];
for (const deployment of deployments) {
    for (const load of loads) {
        for (const seed of seeds) {
            const slots = workerCount * slotsPerWorker;
            const deadlineMilliseconds = load > 1 ? overloadDeadlineMilliseconds : steadyDeadlineMilliseconds;
            const { teams } = deployment;
            const workload = createWorkload({ seed, slots, load, jobs, teams, deadlineMilliseconds });
            const measurement = measureLoad(deployment, load, seed, workload);
            measurements.push(measurement);
            const own = measurement.policies.find(policy => policy.policy === ownPolicy)!;
            const mean = own.meanOverCentral.toFixed(3);
            const wasted = measurement.wastedPerTask.toFixed(3);
            console.log(`${deployment.name} load ${load} seed ${seed}: mean over central ${mean}, wasted ${wasted}`);
        }
    }
}
const results: ScenarioResult[] = [];
for (const scenario of scenarios) {
    for (const deployment of deployments) {
        results.push(runScenario(scenario, deployment, seeds[0]!));
        console.log(`${deployment.name} ${scenario.name}`);
    }
}
const command = `npm run bench -- --jobs ${jobs} --seeds ${seeds.join(",")}`;
writeFileSync(
    `${values.output}/bench.md`,
    createReport({ command, jobs, seeds, measurements, scenarios: results }),
);
writeFileSync(`${values.output}/bench.svg`, await createPlot(measurements));
