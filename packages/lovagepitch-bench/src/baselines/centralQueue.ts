/**
 * The ideal: one first-come queue before all slots, without any network.
 */
import { PriorityQueue } from "@lovagepitch/utils/priorityQueue";
import type { BenchJob } from "../workload/benchJob.js";

/**
 * Runs jobs through the ideal queue.
 *
 * @param jobs - the jobs in order of arrival
 * @param slots - number of slots
 * @returns response of each job, in milliseconds
 */
export function runCentralQueue(jobs: readonly BenchJob[], slots: number): readonly number[] {
    const freeAt = new PriorityQueue<number>();
    for (let slot = 0; slot < slots; slot += 1) {
        freeAt.push(0, 0);
    }
    return jobs.map(job => {
        let endsAt = 0;
        for (const task of job.tasks) {
            const startsAt = Math.max(job.arrivesAtMilliseconds, freeAt.pop() ?? 0);
            const end = startsAt + task.milliseconds;
            freeAt.push(end, end);
            endsAt = Math.max(endsAt, end);
        }
        return endsAt - job.arrivesAtMilliseconds;
    });
}
