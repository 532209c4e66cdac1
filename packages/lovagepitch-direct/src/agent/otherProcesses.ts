/**
 * Other processes of the same agent that call the worker: one of them has to give way.
 */
import type { AgentState, RunRow, WorkerRow } from "./agentState.js";
import { describeRuns } from "./workerCrash.js";
import { takeEpoch } from "./workerRegistration.js";

/**
 * Time without calls after another process has excluded this one, in milliseconds: the other one may have ended meanwhile, or
 * have been an earlier one whose call was executed late.
 */
const yieldMilliseconds = 3000;

/** Number of times that a process is excluded until it gives way for good; the one that started earlier reaches it first. */
const timesUntilFinalYield = 2;

/**
 * Handles the rejection of a view call because the worker has seen a higher epoch. If the worker has not answered this process
 * before, it was that of a predecessor, so this one takes a higher epoch at once. Otherwise it gives way.
 *
 * @param state - state of the agent
 * @param worker - row of the worker
 * @param workerClock - worker's monotonic clock, in milliseconds
 */
export function receiveHigherEpoch(state: AgentState, worker: WorkerRow, workerClock: number): void {
    if (worker.confirmedEpoch > Number.NEGATIVE_INFINITY) {
        yieldToOtherProcess(state, worker);
    }
    else {
        takeEpoch(state, worker, workerClock);
    }
}

/**
 * Gives way to another process of this agent: it has started later, or this one was excluded before. This one makes no calls for
 * some time, and the second time none before the worker has started again. Nothing extends the lease of its runs, which end
 * with it.
 */
function yieldToOtherProcess(state: AgentState, worker: WorkerRow): void {
    const timesReplaced = worker.timesReplaced + 1;
    const isFinal = timesReplaced >= timesUntilFinalYield;
    state.log("warn", "another process of this agent calls the worker", {
        worker: worker.report.id,
        isFinal,
        runs: describeRuns(state),
    });
    state.worker = {
        ...worker,
        timesReplaced,
        confirmedEpoch: Number.NEGATIVE_INFINITY,
        hasLateCall: false,
        isConfirmed: false,
        isResponsive: false,
        missedViews: worker.missedViews + 1,
        callInFlight: undefined,
        nextCallAt: isFinal ? Number.POSITIVE_INFINITY : state.now + yieldMilliseconds,
    };
    state.markUpdatePending();
}

/**
 * Marks the epoch as unconfirmed after the worker has rejected an order for its epoch. The worker rejects the next view too and
 * returns its clock, which gives the new epoch. An order that was sent before this process raised its epoch shows nothing of
 * another process.
 *
 * @param state - state of the agent
 * @param row - run of the order
 */
export function requestNewEpoch(state: AgentState, row: RunRow): void {
    if (state.worker !== undefined && row.lastOrderSentAt > state.worker.epochRaisedAt) {
        state.worker = { ...state.worker, isConfirmed: false };
        state.markUpdatePending();
    }
}
