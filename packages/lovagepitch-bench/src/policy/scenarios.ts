/**
 * Scenarios other than a steady load: bursts, stragglers, failing workers, failing jobs and cancellations.
 */
import type { InProcessDeployment } from "@lovagepitch/testing/harness/inProcessDeployment";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import type { BenchJob } from "../workload/benchJob.js";
import { createWorkload, type WorkloadSettings } from "../workload/createWorkload.js";
import { type BenchDeployment, slotsPerWorker, workerCount } from "./deployments.js";
import { type DeploymentRun, type FaultInjection, runDeployment, type SubmittedJob } from "./runDeployment.js";

const jobsPerScenario = 2_000;
const defaultDeadlineMilliseconds = 10_000;
const millisecondsPerSecond = 1_000;

/** A workload and the faults injected into its run. */
export interface Scenario {
    readonly name: string;
    readonly description: string;
    /** Draws the jobs of a run from a seed. */
    readonly createJobs: (deployment: BenchDeployment, seed: number) => readonly BenchJob[];
    readonly injectFaults?: FaultInjection;
}

/** Results of a scenario in one deployment. */
export interface ScenarioResult {
    readonly name: string;
    readonly description: string;
    readonly deployment: string;
    readonly completeJobs: number;
    readonly refusedJobs: number;
    readonly failedJobs: number;
    readonly slowestRefusalMilliseconds: number;
    readonly usefulShare: number;
    readonly wastedPerTask: number;
}

/** All scenarios, in the order of the report. */
export const scenarios: readonly Scenario[] = [
    {
        name: "dawn burst",
        description: "load 0.5, and 8 times as much from 10 s to 12 s",
        createJobs: (deployment, seed) => drawJobs(deployment, seed, 0.5, { getRateFactor: getBurstFactor }),
    },
    {
        name: "cut-off rush",
        description: "load rises from 0.5 to 1.5; every job must end by the same instant",
        createJobs: drawJobsWithCommonDeadline,
    },
    {
        name: "stragglers",
        description: "load 0.7, 2 % of the tasks take 10 times as long",
        createJobs: (deployment, seed) => addStragglers(drawJobs(deployment, seed, 0.7), seed),
    },
    {
        name: "failing worker",
        description: "load 0.7, one worker fails everything at once from 10 s to 40 s",
        createJobs: (deployment, seed) => drawJobs(deployment, seed, 0.7),
        injectFaults: failOneWorker,
    },
    {
        name: "bad jobs",
        description: "load 0.7, every tenth job fails at its first task wherever it runs",
        createJobs: (deployment, seed) =>
            drawJobs(deployment, seed, 0.7).map(job => job.index % 10 === 0 ? { ...job, fails: true } : job),
    },
    {
        name: "cancellation wave",
        description: "load 0.9, callers cancel every job that is open at 20 s",
        createJobs: (deployment, seed) => drawJobs(deployment, seed, 0.9),
        injectFaults: cancelOpenJobs,
    },
];

/**
 * Runs one scenario in one deployment.
 *
 * @param scenario - scenario to run
 * @param deployment - deployment to simulate
 * @param seed - seed of the jobs
 * @returns results for the report
 */
export function runScenario(scenario: Scenario, deployment: BenchDeployment, seed: number): ScenarioResult {
    const drawn = scenario.createJobs(deployment, seed);
    const run = runDeployment(deployment, drawn, scenario.injectFaults);
    return {
        name: scenario.name,
        description: scenario.description,
        deployment: deployment.name,
        completeJobs: run.responses.filter(response => response !== undefined).length,
        refusedJobs: run.refusals.length,
        failedJobs: run.failedJobs,
        slowestRefusalMilliseconds: Math.max(0, ...run.refusals),
        usefulShare: run.usefulSlotMilliseconds / Math.max(1, run.totalSlotMilliseconds),
        wastedPerTask: countWastedMessages(run) / Math.max(1, run.startedTasks),
    };
}

function getBurstFactor(atMilliseconds: number): number {
    return atMilliseconds > 10 * millisecondsPerSecond && atMilliseconds < 12 * millisecondsPerSecond ? 8 : 1;
}

function failOneWorker(running: InProcessDeployment, startMilliseconds: number): void {
    const server = running.agents[0]!.backendServer;
    running.queue.schedule(startMilliseconds + 10 * millisecondsPerSecond, () => {
        server.failsEverything = true;
    }, undefined);
    running.queue.schedule(startMilliseconds + 40 * millisecondsPerSecond, () => {
        server.failsEverything = false;
    }, undefined);
}

function cancelOpenJobs(
    running: InProcessDeployment,
    startMilliseconds: number,
    submittedJobs: readonly SubmittedJob[],
): void {
    running.queue.schedule(startMilliseconds + 20 * millisecondsPerSecond, () => {
        for (const { request } of submittedJobs) {
            if (request.end === undefined && request.submission !== undefined) {
                running.callers.sendOperation(request.entryIndex, "cancel", request.submission);
            }
        }
    }, undefined);
}

function countWastedMessages(run: DeploymentRun): number {
    return Object.values(run.wasted).reduce((sum, count) => sum + count, 0);
}

function drawJobs(
    deployment: BenchDeployment,
    seed: number,
    load: number,
    changes: Partial<WorkloadSettings> = {},
): readonly BenchJob[] {
    return createWorkload({
        seed,
        slots: workerCount * slotsPerWorker,
        load,
        jobs: jobsPerScenario,
        teams: deployment.teams,
        deadlineMilliseconds: defaultDeadlineMilliseconds,
        ...changes,
    });
}

function drawJobsWithCommonDeadline(deployment: BenchDeployment, seed: number): readonly BenchJob[] {
    const drawn = drawJobs(deployment, seed, 0.5, { getRateFactor: at => 1 + at / (30 * millisecondsPerSecond) });
    const commonDeadline = drawn.at(-1)!.arrivesAtMilliseconds + defaultDeadlineMilliseconds;
    return drawn.map(job => ({ ...job, deadlineMilliseconds: Math.ceil(commonDeadline - job.arrivesAtMilliseconds) }));
}

function addStragglers(drawn: readonly BenchJob[], seed: number): readonly BenchJob[] {
    const random = new RandomSource(seed);
    const drawDuration = (milliseconds: number): number =>
        random.nextFraction() < 0.02 ? 10 * milliseconds : milliseconds;
    return drawn.map(job => ({
        ...job,
        tasks: job.tasks.map(task => ({ ...task, actualMilliseconds: drawDuration(task.actualMilliseconds) })),
    }));
}
