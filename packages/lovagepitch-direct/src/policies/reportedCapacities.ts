/**
 * Load pattern: an agent restarts while its worker runs on and reports rarely. What the entry has lately heard from the earlier process
 * shows that the agent's record of the worker is current, so that the worker need not stay idle until its next report.
 */
import type { Resources } from "../model/resources.js";
import type { WorkerStatus } from "../model/workerStatus.js";

/**
 * Time after the latest frame for which a capacity counts, in milliseconds. A deployment tolerates a former capacity for 3,000 ms and
 * an interval of reports, after which the restarted agent knows the present one.
 */
const validMilliseconds = 2500;

/** Latest capacities that workers have reported to their agents, by instance. */
export class ReportedCapacities {
    private readonly heard = new Map<string, { readonly capacity: Resources; readonly at: number }>();

    /**
     * Records what an agent says of its worker. A worker that accepts no tasks may be about to leave, so its capacity confirms
     * nothing.
     *
     * @param instance - name of the agent's instance
     * @param worker - state of the worker; undefined when the agent knows none
     * @param now - current monotonic time, in milliseconds
     */
    public record(instance: string, worker: WorkerStatus | undefined, now: number): void {
        if (worker === undefined || worker.isRestored === true) {
            // A restarted process, which has not heard its worker yet.
            return;
        }
        if (worker.acceptsTasks) {
            this.heard.set(instance, { capacity: worker.capacity, at: now });
        }
        else {
            this.heard.delete(instance);
        }
    }

    /**
     * Finds the capacity that an earlier process of an agent has lately named.
     *
     * @param instance - name of the agent's instance
     * @param now - current monotonic time, in milliseconds
     * @returns the capacity, or undefined when none was heard lately
     */
    public find(instance: string, now: number): Resources | undefined {
        const latest = this.heard.get(instance);
        return latest !== undefined && now - latest.at <= validMilliseconds ? latest.capacity : undefined;
    }
}
