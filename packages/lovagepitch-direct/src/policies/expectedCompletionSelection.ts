/**
 * Load pattern: workers of several kinds run the same tasks at different speeds, and a job is in time relative to its own
 * work. Tasks are spread over the workers on which they end in time, so a task that would be late on a slow worker goes to a
 * fast one.
 */
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import { fitsInto } from "../model/resources.js";
import { SpreadSelection } from "./spreadSelection.js";
import type { TaskDemand, WorkerCandidate } from "./workerSelection.js";

/** Speeds that differ by less than this factor count as equal. */
const equalityFactor = 1.15;

/** Time that an order and the report of its end take, in milliseconds; a run must end this much before its latest end. */
const messageMilliseconds = 25;

/**
 * A task waits for a faster worker only while it could still start in time at normal speed, with this margin, in
 * milliseconds. It spans two attempts at placement, so no job is refused while a worker that may run it is free.
 */
const waitMarginMilliseconds = 50;

/** Chooses among workers of different speeds by the expected end of the task, and decides as its base class otherwise. */
export class ExpectedCompletionSelection extends SpreadSelection {
    /** {@inheritDoc WorkerSelection.choose} */
    public override choose(
        candidates: readonly WorkerCandidate[],
        task: TaskDemand,
        random: RandomSource,
    ): WorkerCandidate | undefined {
        let lowest = Number.POSITIVE_INFINITY;
        let highest = 0;
        let highestWithRoom = 0;
        for (const { speed, available } of candidates) {
            lowest = Math.min(lowest, speed);
            highest = Math.max(highest, speed);
            highestWithRoom = speed > highestWithRoom && fitsInto(task.needs, available) ? speed : highestWithRoom;
        }
        if (highest < lowest * equalityFactor) {
            return super.choose(candidates, task, random);
        }
        const requiredSpeed = computeRequiredSpeed(task);
        if (highestWithRoom >= requiredSpeed) {
            return this.chooseFrom(candidates, requiredSpeed, task, random);
        }
        if (task.spareMilliseconds > waitMarginMilliseconds && highest >= requiredSpeed) {
            return undefined;
        }
        return this.chooseFrom(candidates, highestWithRoom / equalityFactor, task, random);
    }
}

/** Computes the speed from which a worker that starts the longest task of the job now ends it in time. */
function computeRequiredSpeed({ spareMilliseconds, longestMilliseconds }: TaskDemand): number {
    const milliseconds = spareMilliseconds + longestMilliseconds - messageMilliseconds;
    return milliseconds > 0 ? longestMilliseconds / milliseconds : Number.POSITIVE_INFINITY;
}
