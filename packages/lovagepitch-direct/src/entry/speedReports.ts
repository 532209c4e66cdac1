/**
 * Speeds of the workers according to the reports of their agents.
 */
import type { SpeedReport } from "../policies/workerSpeeds.js";
import type { EntryState } from "./entryState.js";

/**
 * Takes the agents' latest figures into account and logs what has changed.
 *
 * @param state - state of the entry
 */
export function refreshWorkerSpeeds(state: EntryState): void {
    for (const change of state.workerSpeeds.refresh(() => listReports(state), state.now)) {
        state.log("info", "speed of a kind of workers changed", { ...change });
    }
}

function* listReports(state: EntryState): Iterable<SpeedReport> {
    for (const { agent, worker } of state.agents.values()) {
        if (worker !== undefined) {
            yield { agent, labels: worker.labels, speed: worker.speed };
        }
    }
}
