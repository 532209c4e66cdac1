/**
 * Runs the baselines that queue tasks at workers.
 */
import { PriorityQueue } from "@lovagepitch/utils/priorityQueue";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import type { BenchJob } from "../workload/benchJob.js";
import type { WorkerChoice } from "./workerChoice.js";

/** Sizes and network of a baseline run. */
export interface WorkerQueueSettings {
    readonly seed: number;
    readonly workers: number;
    readonly slotsPerWorker: number;
    /** Time that each job spends on the network, in milliseconds. */
    readonly networkMilliseconds: number;
}

/**
 * Runs jobs through queues at workers.
 *
 * @param jobs - the jobs in order of arrival
 * @param choice - the baseline
 * @param settings - sizes and network
 * @returns response of each job, in milliseconds
 */
export function runWorkerQueues(
    jobs: readonly BenchJob[],
    choice: WorkerChoice,
    settings: WorkerQueueSettings,
): readonly number[] {
    const random = new RandomSource(settings.seed);
    const lengths = new Array<number>(settings.workers).fill(0);
    const freeAt = lengths.map(() => createSlots(settings.slotsPerWorker));
    const ends = new PriorityQueue<{ readonly endsAt: number; readonly worker: number }>();
    return jobs.map(job => {
        while ((ends.peekPriority() ?? Number.POSITIVE_INFINITY) <= job.arrivesAtMilliseconds) {
            lengths[ends.pop()!.worker]! -= 1;
        }
        let lastEnd = 0;
        for (const task of job.tasks) {
            const worker = choice.choose(lengths, random);
            const startsAt = Math.max(job.arrivesAtMilliseconds, freeAt[worker]!.pop() ?? 0);
            const endsAt = startsAt + task.milliseconds;
            freeAt[worker]!.push(endsAt, endsAt);
            ends.push(endsAt, { endsAt, worker });
            lengths[worker]! += 1;
            lastEnd = Math.max(lastEnd, endsAt);
        }
        return lastEnd - job.arrivesAtMilliseconds + settings.networkMilliseconds;
    });
}

function createSlots(slots: number): PriorityQueue<number> {
    const queue = new PriorityQueue<number>();
    for (let slot = 0; slot < slots; slot += 1) {
        queue.push(0, 0);
    }
    return queue;
}
