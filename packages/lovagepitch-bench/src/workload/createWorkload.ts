/**
 * Draws the jobs of a run.
 */
import { RandomSource } from "@lovagepitch/utils/randomSource";
import type { BenchJob, BenchTask } from "./benchJob.js";

const shortestTaskMilliseconds = 50;
const longestUsualTaskMilliseconds = 1_000;
const longestTaskMilliseconds = 4_000;
const longTaskShare = 0.02;
const mostTasks = 32;
/** Declared run times are off by up to this factor, both ways. */
const declarationFactor = 3;
/** Draws that the mean work of a job is estimated from. */
const calibrationJobs = 20_000;

/** Shape of a run. */
export interface WorkloadSettings {
    readonly seed: number;
    /** Slots of the deployment. */
    readonly slots: number;
    /** Offered work as a share of the slots. */
    readonly load: number;
    /** Jobs to draw. */
    readonly jobs: number;
    readonly teams: readonly string[];
    readonly deadlineMilliseconds: number;
    /** Factor by which the arrival rate is raised at an instant, for bursts; 1 when absent. */
    readonly surge?: (milliseconds: number) => number;
}

/**
 * Draws jobs with Poisson arrivals: 1 to 32 tasks of 50 ms to 1 s, a few of up to 4 s, with wrong declared times.
 *
 * @param settings - shape of the run
 * @returns the jobs in order of arrival; the same for the same settings
 */
export function createWorkload(settings: WorkloadSettings): readonly BenchJob[] {
    const random = new RandomSource(settings.seed);
    const jobsPerMillisecond = settings.load * settings.slots / estimateWork();
    const jobs: BenchJob[] = [];
    let at = 0;
    for (let number = 0; number < settings.jobs; number += 1) {
        const rate = jobsPerMillisecond * (settings.surge?.(at) ?? 1);
        at += -Math.log(1 - random.nextFraction()) / rate;
        jobs.push({
            number,
            arrivesAtMilliseconds: at,
            team: settings.teams[random.nextInteger(settings.teams.length)]!,
            deadlineMilliseconds: settings.deadlineMilliseconds,
            tasks: drawTasks(random),
        });
    }
    return jobs;
}

function drawTasks(random: RandomSource): readonly BenchTask[] {
    const count = Math.min(mostTasks, Math.floor(Math.exp(random.nextFraction() * Math.log(mostTasks + 1))));
    return Array.from({ length: Math.max(1, count) }, () => drawTask(random));
}

function drawTask(random: RandomSource): BenchTask {
    const isLong = random.nextFraction() < longTaskShare;
    const longest = isLong ? longestTaskMilliseconds : longestUsualTaskMilliseconds;
    const shortest = isLong ? longestUsualTaskMilliseconds : shortestTaskMilliseconds;
    const milliseconds = shortest + random.nextFraction() * (longest - shortest);
    const factor = Math.exp((2 * random.nextFraction() - 1) * Math.log(declarationFactor));
    return { milliseconds, declaredMilliseconds: Math.max(1, Math.round(milliseconds * factor)) };
}

/** Mean work of a job, in slot milliseconds. */
function estimateWork(): number {
    const random = new RandomSource(0);
    let work = 0;
    for (let job = 0; job < calibrationJobs; job += 1) {
        work += drawTasks(random).reduce((sum, task) => sum + task.milliseconds, 0);
    }
    return work / calibrationJobs;
}
