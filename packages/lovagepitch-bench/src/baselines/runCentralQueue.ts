/**
 * Ideal baseline: one first-come-first-served queue for all slots, without network latency.
 */
import { PriorityQueue } from "@lovagepitch/utils/priorityQueue";
import type { BenchJob } from "../workload/benchJob.js";

/**
 * Simulates jobs in the central queue.
 *
 * @param jobs - the jobs in order of arrival
 * @param slots - number of slots in the deployment
 * @returns response time of each job in milliseconds, in the order of the jobs
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
            const end = startsAt + task.actualMilliseconds;
            freeAt.push(end, end);
            endsAt = Math.max(endsAt, end);
        }
        return endsAt - job.arrivesAtMilliseconds;
    });
}
