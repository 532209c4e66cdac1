/**
 * Measures one deployment and the baselines at one load, with the same arrivals.
 */
import { runCentralQueue } from "../baselines/runCentralQueue.js";
import { runWorkerQueues } from "../baselines/runWorkerQueues.js";
import { LeastLoaded, PowerOfTwoChoices, RandomWorker } from "../baselines/workerChoice.js";
import type { BenchJob } from "../workload/benchJob.js";
import { type BenchDeployment, slotsPerWorker, workerCount } from "./deployments.js";
import { type DeploymentRun, runDeployment } from "./runDeployment.js";
import { type RatioSummary, summariseRatios } from "./summariseRatios.js";

/** Ratios of response time to ideal response time under one policy, and relative to the central queue. */
export interface PolicyResponse {
    readonly policy: string;
    readonly ratios: RatioSummary;
    readonly meanOverCentral: number;
    readonly percentile99OverCentral: number;
}

/** Results of one run and of the baselines. */
export interface LoadMeasurement {
    readonly deployment: string;
    readonly load: number;
    readonly seed: number;
    readonly policies: readonly PolicyResponse[];
    readonly run: DeploymentRun;
    readonly wastedPerTask: number;
    readonly batchesPerTask: number;
    readonly usefulShare: number;
    /** Caller messages beyond the four of each job: id request, submission and their answers. */
    readonly extraCallerMessages: number;
    /** Ratio of the largest to the smallest mean response ratio of a team. */
    readonly teamSpread: number;
}

/** Name of lovagepitch's policy in reports. */
export const ownPolicy = "lovagepitch";

/**
 * Runs a workload in the deployment and in the baselines.
 *
 * @param deployment - deployment to simulate
 * @param load - offered load, only for the report
 * @param seed - seed of the workload, for the report and the baselines
 * @param jobs - jobs in order of arrival
 * @returns results of the run and of the baselines
 */
export function measureLoad(
    deployment: BenchDeployment,
    load: number,
    seed: number,
    jobs: readonly BenchJob[],
): LoadMeasurement {
    const { caller, betweenZones } = deployment.settings.latencies;
    const networkMilliseconds = 2 * caller + 2 * betweenZones;
    const central = summariseRatios(jobs, runCentralQueue(jobs, workerCount * slotsPerWorker), 0);
    const compare = (policy: string, responses: readonly (number | undefined)[]): PolicyResponse => {
        const ratios = summariseRatios(jobs, responses, networkMilliseconds);
        const meanOverCentral = ratios.mean / central.mean;
        return { policy, ratios, meanOverCentral, percentile99OverCentral: ratios.percentile99 / central.percentile99 };
    };
    const queueSettings = { seed, workers: workerCount, slotsPerWorker, networkMilliseconds };
    const baselines = [new RandomWorker(), new PowerOfTwoChoices(), new LeastLoaded()].map(choice =>
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
        usefulShare: run.usefulSlotMilliseconds / Math.max(1, run.totalSlotMilliseconds),
        extraCallerMessages: run.callerMessages - 4 * jobs.length,
        teamSpread: Math.max(...teamMeans) / Math.min(...teamMeans),
    };
}
