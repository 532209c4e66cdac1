/**
 * Room on workers during one round of placement.
 */
import type { DirectJob } from "../model/directJob.js";
import { addResources, countFits, type Resources, subtractResources } from "../model/resources.js";
import type { WorkerCandidate } from "../policies/workerChoice.js";
import { permittedRuns } from "../policies/workerHealth.js";
import { isUsable } from "./agentFrames.js";
import { type AgentRow, availableAt, type EntryState } from "./entryState.js";

interface WorkerRoom {
    readonly row: AgentRow;
    readonly capacity: Resources;
    readonly available: Resources;
    /** Tasks that may still be placed there whatever their size; bounded while the worker is on trial. */
    readonly permitted: number;
    readonly isOnTrial: boolean;
}

/** Workers that can be sent tasks, and what is free there. */
export class WorkerRooms {
    /** True when orders of any entry wait at a worker. */
    public readonly areAwaited: boolean;
    private readonly rooms = new Map<string, WorkerRoom>();

    /**
     * @param state - the entry
     */
    public constructor(private readonly state: EntryState) {
        let areAwaited = false;
        for (const row of state.agents.values()) {
            const available = availableAt(row);
            const permitted = permittedRuns(row.health, state.now) - row.runs;
            if (available === undefined || row.worker === undefined || !isUsable(state, row)) {
                continue;
            }
            areAwaited ||= row.worker.awaited.milliCores > 0;
            const isOnTrial = row.health.isOnTrial || row.worker.isOnTrial;
            this.rooms.set(row.agent, { row, capacity: row.worker.capacity, available, permitted, isOnTrial });
        }
        this.areAwaited = areAwaited;
    }

    /**
     * Lists the workers that may run a job's tasks, whether they have room or not.
     *
     * @param job - the job
     * @param avoid - agents that are only listed when there are no others
     * @param allowance - what orders may exceed a worker's room by
     * @returns candidates for one task
     */
    public listCandidates(job: DirectJob, avoid: readonly string[], allowance: Resources): readonly WorkerCandidate[] {
        const candidates: WorkerCandidate[] = [];
        const others: WorkerCandidate[] = [];
        for (const { row, available, isOnTrial } of this.listPermitted(job)) {
            const isInOwnZone = row.availabilityZone === this.state.identity.availabilityZone;
            const candidate = {
                agent: row.agent,
                available: addResources(available, allowance),
                isInOwnZone,
                isOnTrial,
            };
            (avoid.includes(row.agent) ? others : candidates).push(candidate);
        }
        return candidates.length > 0 ? candidates : others;
    }

    /**
     * Counts the tasks of a job that find room.
     *
     * @param job - the job
     * @param of - room that is free now, or what there would be if nothing else ran
     * @returns at most the number of its tasks
     */
    public countRoom(job: DirectJob, of: "available" | "capacity"): number {
        let count = 0;
        for (const room of this.listPermitted(job)) {
            count += Math.min(countFits(job.needs, room[of]), room.permitted, job.maximumPerWorker);
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
    public occupy(agent: string, needs: Resources): void {
        const room = this.rooms.get(agent);
        if (room !== undefined) {
            const available = subtractResources(room.available, needs);
            this.rooms.set(agent, { ...room, available, permitted: room.permitted - 1 });
        }
    }

    private *listPermitted(job: DirectJob): Iterable<WorkerRoom> {
        for (const room of this.rooms.values()) {
            const { worker } = room.row;
            const hasLabel = job.requiredLabel === undefined || worker?.labels.includes(job.requiredLabel) === true;
            if (room.permitted > 0 && worker?.service === job.service && hasLabel) {
                yield room;
            }
        }
    }
}
