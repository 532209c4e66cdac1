/**
 * Scenarios beyond a steady load: bursts, stragglers, failing workers, bad jobs and cancellations.
 */
import type { InProcessDeployment } from "@lovagepitch/testing/harness/inProcessDeployment";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import type { BenchJob } from "../workload/benchJob.js";
import { createWorkload, type WorkloadSettings } from "../workload/createWorkload.js";
import { type BenchDeployment, slotsPerWorker, workers } from "./deployments.js";
import { type DeploymentRun, type Disturbance, type Flight, runDeployment } from "./runDeployment.js";

const jobs = 2_000;
const usualDeadlineMilliseconds = 10_000;
const second = 1_000;

/** One scenario. */
export interface Scenario {
    readonly name: string;
    readonly description: string;
    /** Draws its jobs. */
    readonly createJobs: (deployment: BenchDeployment, seed: number) => readonly BenchJob[];
    readonly disturb?: Disturbance;
}

/** What a scenario showed. */
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

/** The scenarios in the order of the report. */
export const scenarios: readonly Scenario[] = [
    {
        name: "dawn burst",
        description: "load 0.5, and 8 times as much from 10 s to 12 s",
        createJobs: (deployment, seed) => draw(deployment, seed, 0.5, { surge: surgeAtDawn }),
    },
    {
        name: "cut-off rush",
        description: "load rises from 0.5 to 1.5; every job must end by the same instant",
        createJobs: drawRush,
    },
    {
        name: "stragglers",
        description: "load 0.7, 2 % of the tasks take 10 times as long",
        createJobs: (deployment, seed) => withStragglers(draw(deployment, seed, 0.7), seed),
    },
    {
        name: "failing worker",
        description: "load 0.7, one worker fails everything at once from 10 s to 40 s",
        createJobs: (deployment, seed) => draw(deployment, seed, 0.7),
        disturb: failOneWorker,
    },
    {
        name: "bad jobs",
        description: "load 0.7, every tenth job fails at its first task wherever it runs",
        createJobs: (deployment, seed) =>
            draw(deployment, seed, 0.7).map(job => job.number % 10 === 0 ? { ...job, fails: true } : job),
    },
    {
        name: "cancellation wave",
        description: "load 0.9, callers cancel every job that is open at 20 s",
        createJobs: (deployment, seed) => draw(deployment, seed, 0.9),
        disturb: cancelOpenJobs,
    },
];

/**
 * Runs one scenario.
 *
 * @param scenario - the scenario
 * @param deployment - the deployment
 * @param seed - seed of its jobs
 * @returns what it showed
 */
export function runScenario(scenario: Scenario, deployment: BenchDeployment, seed: number): ScenarioResult {
    const drawn = scenario.createJobs(deployment, seed);
    const run = runDeployment(deployment, drawn, scenario.disturb);
    return {
        name: scenario.name,
        description: scenario.description,
        deployment: deployment.name,
        completeJobs: run.responses.filter(response => response !== undefined).length,
        refusedJobs: run.refusals.length,
        failedJobs: run.failedJobs,
        slowestRefusalMilliseconds: Math.max(0, ...run.refusals),
        usefulShare: run.usefulWork / Math.max(1, run.allWork),
        wastedPerTask: countWasted(run) / Math.max(1, run.startedTasks),
    };
}

function surgeAtDawn(atMilliseconds: number): number {
    return atMilliseconds > 10 * second && atMilliseconds < 12 * second ? 8 : 1;
}

function failOneWorker(running: InProcessDeployment, startMilliseconds: number): void {
    const server = running.agents[0]!.backendServer;
    running.queue.schedule(startMilliseconds + 10 * second, () => {
        server.failsEverything = true;
    }, undefined);
    running.queue.schedule(startMilliseconds + 40 * second, () => {
        server.failsEverything = false;
    }, undefined);
}

function cancelOpenJobs(
    running: InProcessDeployment,
    startMilliseconds: number,
    flights: readonly Flight[],
): void {
    running.queue.schedule(startMilliseconds + 20 * second, () => {
        for (const { request } of flights) {
            if (request.end === undefined && request.submission !== undefined) {
                running.callers.sendOperation(request.entryIndex, "cancel", request.submission);
            }
        }
    }, undefined);
}

function countWasted(run: DeploymentRun): number {
    return Object.values(run.wasted).reduce((sum, count) => sum + count, 0);
}

function draw(
    deployment: BenchDeployment,
    seed: number,
    load: number,
    changes: Partial<WorkloadSettings> = {},
): readonly BenchJob[] {
    return createWorkload({
        seed,
        slots: workers * slotsPerWorker,
        load,
        jobs,
        teams: deployment.teams,
        deadlineMilliseconds: usualDeadlineMilliseconds,
        ...changes,
    });
}

function drawRush(deployment: BenchDeployment, seed: number): readonly BenchJob[] {
    const drawn = draw(deployment, seed, 0.5, { surge: at => 1 + at / (30 * second) });
    const cutOff = drawn.at(-1)!.arrivesAtMilliseconds + usualDeadlineMilliseconds;
    return drawn.map(job => ({ ...job, deadlineMilliseconds: Math.ceil(cutOff - job.arrivesAtMilliseconds) }));
}

function withStragglers(drawn: readonly BenchJob[], seed: number): readonly BenchJob[] {
    const random = new RandomSource(seed);
    const slow = (milliseconds: number): number => random.nextFraction() < 0.02 ? 10 * milliseconds : milliseconds;
    return drawn.map(job => ({
        ...job,
        tasks: job.tasks.map(task => ({ ...task, milliseconds: slow(task.milliseconds) })),
    }));
}
