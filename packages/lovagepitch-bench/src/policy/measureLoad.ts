/**
 * Measures one deployment at one load, beside the baselines on the same arrivals.
 */
import { runCentralQueue } from "../baselines/centralQueue.js";
import { LeastLoaded, RandomWorker, TwoChoices } from "../baselines/workerChoice.js";
import { runWorkerQueues } from "../baselines/workerQueues.js";
import type { BenchJob } from "../workload/benchJob.js";
import { type BenchDeployment, slotsPerWorker, workers } from "./deployments.js";
import { type RatioSummary, summariseRatios } from "./responseRatios.js";
import { type DeploymentRun, runDeployment } from "./runDeployment.js";

/** One policy's response over ideal, relative to the central queue. */
export interface PolicyResponse {
    readonly policy: string;
    readonly ratios: RatioSummary;
    readonly meanOverCentral: number;
    readonly ninetyNinthOverCentral: number;
}

/** One run and its baselines. */
export interface LoadMeasurement {
    readonly deployment: string;
    readonly load: number;
    readonly seed: number;
    readonly policies: readonly PolicyResponse[];
    readonly run: DeploymentRun;
    readonly wastedPerTask: number;
    readonly batchesPerTask: number;
    readonly usefulShare: number;
    /** Caller messages beyond one exchange a job. */
    readonly extraCallerMessages: number;
    /** Largest team mean over the smallest. */
    readonly teamSpread: number;
}

/** Name of the project's own policy in reports. */
export const ownPolicy = "lovagepitch";

/**
 * Runs a workload through the deployment and the baselines.
 *
 * @param deployment - the deployment
 * @param load - offered load, for the report
 * @param seed - seed of the workload, for the report and the baselines
 * @param jobs - the jobs
 * @returns what was measured
 */
export function measureLoad(
    deployment: BenchDeployment,
    load: number,
    seed: number,
    jobs: readonly BenchJob[],
): LoadMeasurement {
    const { caller, betweenZones } = deployment.settings.latencies;
    const networkMilliseconds = 2 * caller + 2 * betweenZones;
    const central = summariseRatios(jobs, runCentralQueue(jobs, workers * slotsPerWorker), 0);
    const compare = (policy: string, responses: readonly (number | undefined)[]): PolicyResponse => {
        const ratios = summariseRatios(jobs, responses, networkMilliseconds);
        const meanOverCentral = ratios.mean / central.mean;
        return { policy, ratios, meanOverCentral, ninetyNinthOverCentral: ratios.ninetyNinth / central.ninetyNinth };
    };
    const queueSettings = { seed, workers, slotsPerWorker, networkMilliseconds };
    const baselines = [new RandomWorker(), new TwoChoices(), new LeastLoaded()].map(choice =>
        compare(choice.name, runWorkerQueues(jobs, choice, queueSettings))
    );
    const run = runDeployment(deployment, jobs);
    const wasted = Object.values(run.wasted).reduce((sum, count) => sum + count, 0);
    const teamMeans = [...run.teamResponses.values()];
    return {
        deployment: deployment.name,
        load,
        seed,
        policies: [compare(ownPolicy, run.responses), ...baselines],
        run,
        wastedPerTask: wasted / Math.max(1, run.startedTasks),
        batchesPerTask: run.batches / Math.max(1, run.startedTasks),
        usefulShare: run.usefulWork / Math.max(1, run.allWork),
        extraCallerMessages: run.callerMessages - 4 * jobs.length,
        teamSpread: Math.max(...teamMeans) / Math.min(...teamMeans),
    };
}
