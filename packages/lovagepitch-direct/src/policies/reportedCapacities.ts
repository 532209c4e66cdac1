/**
 * Load pattern: an agent restarts while its worker runs on and reports rarely. What an entry has heard from the earlier process tells the
 * agent the latest capacity, so that the worker need not stay idle until its next report. The agent judges the age of that report by
 * the worker's clock, so it does not matter when and how the entry has heard of it.
 */
import type { ReportedCapacity, WorkerStatus } from "../model/workerStatus.js";

/** Latest capacities that workers have reported to their agents, by instance. */
export class ReportedCapacities {
    private readonly heard = new Map<string, ReportedCapacity>();

    /**
     * Records what an agent says of its worker. The capacity of a worker whose report is not named is forgotten, because it drains.
     *
     * @param instance - name of the agent's instance
     * @param worker - state of the worker; undefined when the agent knows none
     */
    public record(instance: string, worker: WorkerStatus | undefined): void {
        if (worker === undefined || worker.isRestored === true) {
            // A restarted process, which has not heard its worker yet.
            return;
        }
        if (worker.latestReport === undefined) {
            this.heard.delete(instance);
        }
        else {
            this.heard.set(instance, { ...worker.latestReport, capacity: worker.capacity });
        }
    }

    /**
     * Finds the capacity that an earlier process of an agent has named last.
     *
     * @param instance - name of the agent's instance
     * @returns the capacity and its report, or undefined when none was heard
     */
    public find(instance: string): ReportedCapacity | undefined {
        return this.heard.get(instance);
    }
}
