/**
 * Room on workers during one round of placement.
 */
import type { DirectJob } from "../model/directJob.js";
import { addResources, countFits, type Resources, subtractResources } from "../model/resources.js";
import type { WorkerCandidate } from "../policies/workerChoice.js";
import { getMaximumRuns } from "../policies/workerHealth.js";
import { canReceiveTasks } from "./agentFrames.js";
import { type AgentRow, computeAvailableResources, type EntryState } from "./entryState.js";

interface WorkerResources {
    readonly row: AgentRow;
    readonly capacity: Resources;
    readonly available: Resources;
    /** Tasks that may still be placed there whatever their size; bounded while the worker is on trial. */
    readonly permittedTasks: number;
    readonly isOnTrial: boolean;
}

/** Workers that can be sent tasks, and what is free there. */
export class PlacementRound {
    /** True when orders of any entry wait at a worker. */
    public readonly hasQueuedOrders: boolean;
    private readonly workers = new Map<string, WorkerResources>();

    /**
     * @param state - the entry
     */
    public constructor(private readonly state: EntryState) {
        let hasQueuedOrders = false;
        for (const row of state.agents.values()) {
            const available = computeAvailableResources(row);
            const permittedTasks = getMaximumRuns(row.health, state.now) - row.openRunCount;
            if (available === undefined || row.worker === undefined || !canReceiveTasks(state, row)) {
                continue;
            }
            hasQueuedOrders ||= row.worker.awaited.milliCores > 0;
            const isOnTrial = row.health.isOnTrial || row.worker.isOnTrial;
            this.workers.set(row.agent, {
                row,
                capacity: row.worker.capacity,
                available,
                permittedTasks,
                isOnTrial,
            });
        }
        this.hasQueuedOrders = hasQueuedOrders;
    }

    /**
     * Lists the workers that may run a job's tasks, whether they have room or not.
     *
     * @param job - the job
     * @param avoidedAgents - agents that are only listed when there are no others
     * @param allowance - what orders may exceed a worker's room by
     * @returns candidates for one task
     */
    public listCandidates(
        job: DirectJob,
        avoidedAgents: readonly string[],
        allowance: Resources,
    ): readonly WorkerCandidate[] {
        const candidates: WorkerCandidate[] = [];
        const avoided: WorkerCandidate[] = [];
        for (const { row, available, isOnTrial } of this.listPermitted(job)) {
            const isInOwnZone = row.availabilityZone === this.state.identity.availabilityZone;
            const candidate = {
                agent: row.agent,
                available: addResources(available, allowance),
                isInOwnZone,
                isOnTrial,
            };
            (avoidedAgents.includes(row.agent) ? avoided : candidates).push(candidate);
        }
        return candidates.length > 0 ? candidates : avoided;
    }

    /**
     * Counts the tasks of a job that find room.
     *
     * @param job - the job
     * @param of - room that is free now, or what there would be if nothing else ran
     * @returns at most the number of its tasks
     */
    public countFittingTasks(job: DirectJob, of: "available" | "capacity"): number {
        let count = 0;
        for (const worker of this.listPermitted(job)) {
            count += Math.min(countFits(job.needs, worker[of]), worker.permittedTasks, job.maximumPerWorker);
            if (count >= job.taskCount) {
                return job.taskCount;
            }
        }
        return count;
    }

    /**
     * Takes room for a task that was placed.
     *
     * @param agent - where
     * @param needs - what the task occupies
     */
    public reserve(agent: string, needs: Resources): void {
        const worker = this.workers.get(agent);
        if (worker !== undefined) {
            const available = subtractResources(worker.available, needs);
            this.workers.set(agent, { ...worker, available, permittedTasks: worker.permittedTasks - 1 });
        }
    }

    private *listPermitted(job: DirectJob): Iterable<WorkerResources> {
        for (const room of this.workers.values()) {
            const { worker } = room.row;
            const hasLabel = job.requiredLabel === undefined || worker?.labels.includes(job.requiredLabel) === true;
            if (room.permittedTasks > 0 && worker?.service === job.service && hasLabel) {
                yield room;
            }
        }
    }
}
