/**
 * Speed of the worker, learned from its ended runs for as long as its incarnation lasts.
 */
import type { AgentState, RunRow } from "./agentState.js";

/**
 * Range of speeds that are usual for some kind of worker. Beyond it a worker is slow because of a fault, however long it
 * lasts.
 */
const usualSpeedRange = { lowest: 0.5, highest: 2 } as const;

/**
 * Records the speed of a run that has succeeded. A run of a worker on trial does not count, because it shows a fault, nor
 * does a further run of a task, because it may have been stopped for taking longer than others.
 *
 * @param state - state of the agent
 * @param row - row of the run
 * @param ranMilliseconds - duration of the run, in milliseconds
 */
export function recordRunSpeed(state: AgentState, row: RunRow, ranMilliseconds: number): void {
    if (row.order === undefined || row.identity.run > 1 || state.health.isOnTrial) {
        return;
    }
    const { runSpeed } = state;
    const verdict = runSpeed.verdict;
    runSpeed.record(ranMilliseconds, row.order.estimatedMilliseconds);
    if (runSpeed.verdict !== verdict) {
        const isDistrusted = runSpeed.verdict === "distrusted";
        state.log(
            isDistrusted ? "warn" : "info",
            isDistrusted ? "speed of worker distrusted" : "speed of worker known",
            {
                worker: state.worker?.report.id,
                speed: runSpeed.value,
            },
        );
    }
}

/**
 * Returns the speed that the worker has without a fault.
 *
 * @param state - state of the agent
 * @returns estimated run time divided by actual run time; 1 while it is unknown
 */
export function getUsualSpeed(state: AgentState): number {
    return Math.min(usualSpeedRange.highest, Math.max(usualSpeedRange.lowest, state.runSpeed.value ?? 1));
}
