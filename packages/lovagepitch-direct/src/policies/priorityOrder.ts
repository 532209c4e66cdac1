/**
 * Load pattern: urgent and less urgent jobs wait together. Jobs that have started go first, then strictly by priority.
 */
import { JobOrder, type WaitingJob } from "./jobOrder.js";
import { compareWaitingWork } from "./waitingOrder.js";

/** Orders jobs by priority alone, as agents order their queued tasks. */
export class PriorityOrder extends JobOrder {
    /** {@inheritDoc JobOrder.sort} */
    public override sort<Job extends WaitingJob>(waiting: readonly Job[]): readonly Job[] {
        return [...waiting].sort(compareWaitingWork);
    }
}
