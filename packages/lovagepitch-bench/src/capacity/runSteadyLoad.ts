/**
 * Open-loop load: submits jobs at a constant rate, independent of the response times.
 */
import type { JobRequest } from "@lovagepitch/types/job";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallerAnswer, EntryProgram } from "./entryProgram.js";

/** Rate, duration and job of a load. */
export interface SteadyLoad {
    readonly jobsPerSecond: number;
    readonly durationMilliseconds: number;
    readonly job: JobRequest;
}

/** Numbers of submitted and of successful jobs. */
export interface LoadOutcome {
    readonly submitted: number;
    readonly complete: number;
}

/**
 * Submits jobs to the entries round-robin and waits for every answer.
 *
 * @param entries - entries that the jobs are submitted to
 * @param load - rate, duration and job
 * @returns numbers of submitted and of successful jobs
 */
export async function runSteadyLoad(entries: readonly EntryProgram[], load: SteadyLoad): Promise<LoadOutcome> {
    const count = Math.round(load.jobsPerSecond * load.durationMilliseconds / 1000);
    const ids = await Promise.all(entries.map(entry => entry.requestSubmissionIds(Math.ceil(count / entries.length))));
    const startedAt = performance.now();
    const answers: Promise<CallerAnswer>[] = [];
    for (let index = 0; index < count; index += 1) {
        const pause = startedAt + index * 1000 / load.jobsPerSecond - performance.now();
        if (pause > 0) {
            await sleep(pause);
        }
        const position = index % entries.length;
        answers.push(entries[position]!.submit(ids[position]![Math.floor(index / entries.length)]!, load.job));
    }
    const settled = await Promise.all(answers);
    const complete = settled.filter(({ answer }) => answer.state === "complete").length;
    return { submitted: count, complete };
}
