/**
 * Callers that submit at a steady rate, whatever the answers take.
 */
import type { JobRequest } from "@lovagepitch/types/job";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallerAnswer, EntryProgram } from "./entryProgram.js";

/** A steady load. */
export interface SteadyLoad {
    readonly jobsPerSecond: number;
    readonly durationMilliseconds: number;
    readonly job: JobRequest;
}

/** What became of the jobs. */
export interface LoadOutcome {
    readonly submitted: number;
    readonly complete: number;
}

/**
 * Submits jobs to the entries in turn and waits for every answer.
 *
 * @param entries - the entries
 * @param load - the load
 * @returns what became of it
 */
export async function runSteadyLoad(entries: readonly EntryProgram[], load: SteadyLoad): Promise<LoadOutcome> {
    const count = Math.round(load.jobsPerSecond * load.durationMilliseconds / 1000);
    const ids = await Promise.all(entries.map(entry => entry.issue(Math.ceil(count / entries.length))));
    const startedAt = performance.now();
    const answers: Promise<CallerAnswer>[] = [];
    for (let number = 0; number < count; number += 1) {
        const pause = startedAt + number * 1000 / load.jobsPerSecond - performance.now();
        if (pause > 0) {
            await sleep(pause);
        }
        const position = number % entries.length;
        answers.push(entries[position]!.submit(ids[position]![Math.floor(number / entries.length)]!, load.job));
    }
    const settled = await Promise.all(answers);
    const complete = settled.filter(({ answer }) => answer.state === "complete").length;
    return { submitted: count, complete };
}
