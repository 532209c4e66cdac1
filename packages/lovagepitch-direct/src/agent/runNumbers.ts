/**
 * Numbers of runs at the worker, which knows a run by job, task and number only. Entries number the runs of each submission
 * from 1, so their numbers repeat when a job is submitted again.
 */
import type { StartOrder } from "../model/frames.js";
import type { WorkerRun } from "./agentPorts.js";

/** Time for which the number of a task's latest run is kept, in milliseconds; callers repeat a job within seconds. */
const retentionMilliseconds = 30_000;

/** Number of kept tasks above which old ones are removed. */
const cleanupThreshold = 2000;

/** Chooses numbers for the runs at one worker. */
export class RunNumbers {
    private readonly latest = new Map<string, { readonly run: number; readonly at: number }>();

    /**
     * Numbers a run. A forgotten number is no danger: the worker rejects a run that is not higher than an earlier one.
     *
     * @param order - start order of the run
     * @param now - current monotonic time, in milliseconds
     * @returns the run as the worker is told of it
     */
    public take({ job, task, run }: StartOrder, now: number): WorkerRun {
        const key = `${task}/${job}`;
        const workerRun = { job, task, run: Math.max(run, (this.latest.get(key)?.run ?? 0) + 1) };
        this.latest.set(key, { run: workerRun.run, at: now });
        if (this.latest.size > cleanupThreshold) {
            this.removeOld(now);
        }
        return workerRun;
    }

    private removeOld(now: number): void {
        for (const [key, { at }] of this.latest) {
            if (now - at > retentionMilliseconds) {
                this.latest.delete(key);
            }
        }
    }
}
