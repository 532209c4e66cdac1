/**
 * Generates the random workload of a run.
 */
import { RandomSource } from "@lovagepitch/utils/randomSource";
import type { BenchJob, BenchTask } from "./benchJob.js";

const shortestTaskMilliseconds = 50;
const longestRegularTaskMilliseconds = 1_000;
const longestTaskMilliseconds = 4_000;
const longTaskShare = 0.02;
const maximumTasksPerJob = 32;
/** Maximum factor by which declared run times are too long or too short. */
const maximumDeclarationErrorFactor = 3;
/** Number of jobs drawn to estimate the mean run time of a job's tasks. */
const calibrationJobs = 20_000;

/** Parameters of a workload. */
export interface WorkloadSettings {
    readonly seed: number;
    /** Number of slots in the deployment. */
    readonly slots: number;
    /** Offered load as a share of the slots; 1 saturates them. */
    readonly load: number;
    /** Number of jobs. */
    readonly jobs: number;
    readonly teams: readonly string[];
    readonly deadlineMilliseconds: number;
    /** Returns the factor that multiplies the arrival rate at a time in the run, for bursts; 1 when absent. */
    readonly getRateFactor?: (milliseconds: number) => number;
}

/**
 * Draws jobs with Poisson arrivals: 1 to 32 tasks of 50 ms to 1 s, a few of up to 4 s, with inaccurate declared times.
 *
 * @param settings - parameters of the workload
 * @returns the jobs in order of arrival, deterministic for the same settings
 */
export function createWorkload(settings: WorkloadSettings): readonly BenchJob[] {
    const random = new RandomSource(settings.seed);
    const jobsPerMillisecond = settings.load * settings.slots / estimateMeanJobMilliseconds();
    const jobs: BenchJob[] = [];
    let arrivesAtMilliseconds = 0;
    for (let index = 0; index < settings.jobs; index += 1) {
        const rate = jobsPerMillisecond * (settings.getRateFactor?.(arrivesAtMilliseconds) ?? 1);
        arrivesAtMilliseconds += -Math.log(1 - random.nextFraction()) / rate;
        jobs.push({
            index,
            arrivesAtMilliseconds,
            team: settings.teams[random.nextInteger(settings.teams.length)]!,
            deadlineMilliseconds: settings.deadlineMilliseconds,
            tasks: drawTasks(random),
        });
    }
    return jobs;
}

function drawTasks(random: RandomSource): readonly BenchTask[] {
    const count = Math.min(
        maximumTasksPerJob,
        Math.floor(Math.exp(random.nextFraction() * Math.log(maximumTasksPerJob + 1))),
    );
    return Array.from({ length: Math.max(1, count) }, () => drawTask(random));
}

function drawTask(random: RandomSource): BenchTask {
    const isLong = random.nextFraction() < longTaskShare;
    const longest = isLong ? longestTaskMilliseconds : longestRegularTaskMilliseconds;
    const shortest = isLong ? longestRegularTaskMilliseconds : shortestTaskMilliseconds;
    const actualMilliseconds = shortest + random.nextFraction() * (longest - shortest);
    const factor = Math.exp((2 * random.nextFraction() - 1) * Math.log(maximumDeclarationErrorFactor));
    return { actualMilliseconds, declaredMilliseconds: Math.max(1, Math.round(actualMilliseconds * factor)) };
}

/** Estimates the mean total run time of a job's tasks, in milliseconds. */
function estimateMeanJobMilliseconds(): number {
    const random = new RandomSource(0);
    let totalMilliseconds = 0;
    for (let job = 0; job < calibrationJobs; job += 1) {
        totalMilliseconds += drawTasks(random).reduce((sum, task) => sum + task.actualMilliseconds, 0);
    }
    return totalMilliseconds / calibrationJobs;
}
