/**
 * Available workers and their resources during one round of placement.
 */
import type { DirectJob } from "../model/directJob.js";
import { addResources, countFittingTasks, type Resources, subtractResources } from "../model/resources.js";
import { getMaximumRuns } from "../policies/workerHealth.js";
import type { WorkerCandidate } from "../policies/workerSelection.js";
import { canReceiveTasks } from "./agentFrames.js";
import { type AgentRow, computeAvailableResources, type EntryState } from "./entryState.js";
import { LinkAllowance } from "./linkAllowance.js";
import { isIdle, type SeparationPlan, WorkerSeparation } from "./workerSeparation.js";

interface WorkerResources {
    readonly row: AgentRow;
    readonly capacity: Resources;
    readonly available: Resources;
    /** Number of tasks that the worker's health still permits; finite while the worker is paused or on trial. */
    readonly permittedTasks: number;
    readonly isOnTrial: boolean;
}

/** Value of `isolatedJobs` for a worker that several isolated jobs share; no job has this id. */
export const sharedIsolation = "shared";

/** Snapshot of the workers that can be sent tasks, from which each placement reserves resources. */
export class PlacementRound {
    /** True when orders of any entry are queued at an agent. */
    public readonly hasQueuedOrders: boolean;
    /** What the entry's link still carries. */
    public readonly link: LinkAllowance;
    /** Decides which jobs may share workers. */
    public readonly separation: WorkerSeparation;
    /** Part of the capacity of all known workers whose agents were heard from recently; 0 without workers. */
    public readonly heardShare: number;
    private readonly workers = new Map<string, WorkerResources>();

    /**
     * @param state - state of the entry
     */
    public constructor(private readonly state: EntryState) {
        this.link = new LinkAllowance(state);
        this.separation = new WorkerSeparation(state);
        let hasQueuedOrders = false;
        let knownMilliCores = 0;
        let heardMilliCores = 0;
        for (const row of state.agents.values()) {
            const available = computeAvailableResources(row);
            const permittedTasks = getMaximumRuns(row.health, state.now) - row.openRunCount;
            const canReceive = canReceiveTasks(state, row);
            knownMilliCores += row.worker?.acceptsTasks === true ? row.worker.capacity.milliCores : 0;
            heardMilliCores += canReceive ? row.worker?.capacity.milliCores ?? 0 : 0;
            if (available === undefined || row.worker === undefined || !canReceive) {
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
        this.heardShare = heardMilliCores / Math.max(1, knownMilliCores);
    }

    /**
     * Lists the workers that may run a job's tasks, whether or not they have capacity.
     *
     * @param job - job to be placed
     * @param avoidedAgents - incarnations of agents that are listed only when there are no others
     * @param allowance - resources by which an order may exceed the free resources of a worker
     * @param mayUseKeptWorkers - true when the job may use workers that are kept for others if no other has room
     * @returns candidates for one task, with the allowance added to their available resources
     */
    public listCandidates(
        job: DirectJob,
        avoidedAgents: readonly string[],
        allowance: Resources,
        mayUseKeptWorkers: boolean,
    ): readonly WorkerCandidate[] {
        const candidates: WorkerCandidate[] = [];
        const avoided: WorkerCandidate[] = [];
        const plan = this.separation.plan(job);
        for (const { row, available, isOnTrial } of this.listSeparated(job, plan, mayUseKeptWorkers)) {
            const isInOwnZone = row.availabilityZone === this.state.identity.availabilityZone;
            const candidate = {
                agent: row.agent,
                available: addResources(available, allowance),
                isInOwnZone,
                isOnTrial,
                speed: this.state.workerSpeeds.get(row.agent),
            };
            (avoidedAgents.includes(row.agent) ? avoided : candidates).push(candidate);
        }
        return candidates.length > 0 ? candidates : avoided;
    }

    /**
     * Selects the workers that save sending the specification again, while the link is short.
     *
     * @param job - job to be placed
     * @param candidates - workers that may run a task
     * @returns those that get a task of the job in this round and have room for another one, or else all candidates
     */
    public preferUsedWorkers(job: DirectJob, candidates: readonly WorkerCandidate[]): readonly WorkerCandidate[] {
        if (!this.link.isShort) {
            return candidates;
        }
        const used = candidates.filter(({ agent }) => {
            const tasks = this.link.countTasks(agent, job);
            const worker = this.workers.get(agent);
            return tasks > 0 && tasks < job.maximumPerWorker && worker !== undefined
                && countFittingTasks(job.needs, worker.available) > 0;
        });
        return used.length > 0 ? used : candidates;
    }

    /**
     * Counts the tasks of a job that fit on the permitted workers.
     *
     * @param job - job to be placed
     * @param resourceKind - `available` for resources that are free now, `capacity` for those of an idle worker
     * @returns number of tasks, at most that of the job
     */
    public countFittingTasks(job: DirectJob, resourceKind: "available" | "capacity"): number {
        let count = 0;
        for (const worker of this.listPermitted(job, resourceKind === "available" ? "now" : "ever")) {
            count += Math.min(
                countFittingTasks(job.needs, worker[resourceKind]),
                worker.permittedTasks,
                job.maximumPerWorker,
            );
            if (count >= job.taskCount) {
                return job.taskCount;
            }
        }
        return count;
    }

    /**
     * Sums the free processor capacity of the permitted workers, whether or not a task fits into it.
     *
     * @param job - job to be placed
     * @returns thousandths of a core
     */
    public sumFreeMilliCores(job: DirectJob): number {
        let sum = 0;
        for (const { available } of this.listPermitted(job, "now")) {
            sum += Math.max(0, available.milliCores);
        }
        return sum;
    }

    /**
     * Reserves the resources of a placed task for the rest of the round.
     *
     * @param agent - incarnation of the agent that received the task
     * @param needs - resources that the task occupies
     */
    public reserve(agent: string, needs: Resources): void {
        const worker = this.workers.get(agent);
        if (worker !== undefined) {
            const available = subtractResources(worker.available, needs);
            this.workers.set(agent, { ...worker, available, permittedTasks: worker.permittedTasks - 1 });
        }
    }

    /** Lists the workers that may start a task of the job now, those kept for other jobs only if no other has room. */
    private listSeparated(
        job: DirectJob,
        plan: SeparationPlan,
        mayUseKeptWorkers: boolean,
    ): readonly WorkerResources[] {
        const permitted = [...this.listPermitted(job, "now", plan)];
        const hasRoom = ({ available }: WorkerResources): boolean => countFittingTasks(job.needs, available) > 0;
        const isOwn = ({ row }: WorkerResources): boolean => this.state.isolatedJobs.get(row.agent) === job.id;
        if (plan.isolation === "job") {
            const own = permitted.filter(worker => isOwn(worker) && hasRoom(worker));
            return own.length > 0 ? own : permitted;
        }
        const preferred = permitted.filter(({ row }) => !plan.avoided.has(row.instance));
        return mayUseKeptWorkers && !preferred.some(hasRoom) ? permitted : preferred;
    }

    /** Tells whether nothing that runs on a worker has to be kept apart from a job. */
    private canShare({ row, available, capacity }: WorkerResources, job: DirectJob, plan: SeparationPlan): boolean {
        const own = this.state.isolatedJobs.get(row.agent);
        if (plan.isolation === undefined) {
            const usedMilliCores = capacity.milliCores - available.milliCores + job.needs.milliCores;
            return row.worker?.isolation === undefined && own === undefined
                && usedMilliCores <= plan.maximumUsedMilliCores;
        }
        const isShared = plan.isolation === "shared" && (own === sharedIsolation || row.worker?.isolation === "shared");
        const isUnused = available.milliCores >= capacity.milliCores;
        return own === job.id || isShared || (own === undefined && isUnused && isIdle(row));
    }

    /**
     * Lists the workers that may run a job.
     *
     * @param job - job to be placed
     * @param time - `now` for those that may start a task now, `ever` also for those that run what it is kept apart from
     * @param plan - separation of the job
     */
    private *listPermitted(
        job: DirectJob,
        time: "now" | "ever",
        plan = this.separation.plan(job),
    ): Iterable<WorkerResources> {
        for (const resources of this.workers.values()) {
            const { worker } = resources.row;
            const hasLabel = job.requiredLabel === undefined || worker?.labels.includes(job.requiredLabel) === true;
            const isPermitted = plan.permitted?.has(resources.row.instance) !== false
                && (time === "ever" || this.canShare(resources, job, plan));
            if (isPermitted && resources.permittedTasks > 0 && worker?.service === job.service && hasLabel) {
                yield resources;
            }
        }
    }
}
