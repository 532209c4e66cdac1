/**
 * Simulates the baselines that queue tasks at workers.
 */
import { PriorityQueue } from "@lovagepitch/utils/priorityQueue";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import type { BenchJob } from "../workload/benchJob.js";
import type { WorkerChoice } from "./workerChoice.js";

/** Size and network latency of a simulated deployment. */
export interface WorkerQueueSettings {
    readonly seed: number;
    readonly workers: number;
    readonly slotsPerWorker: number;
    /** Network latency that is added to the response time of each job, in milliseconds. */
    readonly networkMilliseconds: number;
}

/**
 * Simulates jobs whose tasks are queued at workers.
 *
 * @param jobs - the jobs in order of arrival
 * @param choice - policy that selects the worker of each task
 * @param settings - size and network latency of the deployment
 * @returns response time of each job in milliseconds, in the order of the jobs
 */
export function runWorkerQueues(
    jobs: readonly BenchJob[],
    choice: WorkerChoice,
    settings: WorkerQueueSettings,
): readonly number[] {
    const random = new RandomSource(settings.seed);
    const queueLengths = new Array<number>(settings.workers).fill(0);
    const freeAt = queueLengths.map(() => createSlotQueue(settings.slotsPerWorker));
    const ends = new PriorityQueue<{ readonly endsAt: number; readonly worker: number }>();
    return jobs.map(job => {
        while ((ends.peekPriority() ?? Number.POSITIVE_INFINITY) <= job.arrivesAtMilliseconds) {
            queueLengths[ends.pop()!.worker]! -= 1;
        }
        let lastEnd = 0;
        for (const task of job.tasks) {
            const worker = choice.choose(queueLengths, random);
            const startsAt = Math.max(job.arrivesAtMilliseconds, freeAt[worker]!.pop() ?? 0);
            const endsAt = startsAt + task.actualMilliseconds;
            freeAt[worker]!.push(endsAt, endsAt);
            ends.push(endsAt, { endsAt, worker });
            queueLengths[worker]! += 1;
            lastEnd = Math.max(lastEnd, endsAt);
        }
        return lastEnd - job.arrivesAtMilliseconds + settings.networkMilliseconds;
    });
}

function createSlotQueue(slots: number): PriorityQueue<number> {
    const queue = new PriorityQueue<number>();
    for (let slot = 0; slot < slots; slot += 1) {
        queue.push(0, 0);
    }
    return queue;
}
