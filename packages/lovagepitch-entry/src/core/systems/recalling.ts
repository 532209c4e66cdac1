/**
 * Recalls tasks that have not started.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { EntryState } from "../entryState.js";
import type { LiveSubmission } from "../tables/submissionRow.js";

/**
 * Recalls the tasks of a submission that agents hold and may not have started.
 *
 * @param state - entry state, updated in place
 * @param live - submission that is about to end
 */
export function recallTasks(state: EntryState, live: LiveSubmission): void {
    const indexesByAgent = new Map<PeerAddress, number[]>();
    (state.tasks.get(live.submission) ?? []).forEach((row, index) => {
        if (row.agent === undefined || (row.state !== "sent" && row.state !== "standing-by")) {
            return;
        }
        const indexes = indexesByAgent.get(row.agent) ?? [];
        indexes.push(index);
        indexesByAgent.set(row.agent, indexes);
    });
    for (const [address, indexes] of indexesByAgent) {
        recallTasksFromAgent(state, address, live, indexes);
    }
}

function recallTasksFromAgent(
    state: EntryState,
    address: PeerAddress,
    live: LiveSubmission,
    indexes: readonly number[],
): void {
    const agent = state.agents.get(address);
    if (agent === undefined) {
        return;
    }
    const startSequence = agent.startSequence + 1;
    state.agents.update(address, { startSequence });
    state.send(address, { type: "recallTasks", submission: live.submission, startSequence, indexes });
    state.logDecision("recalled", "the job has ended", {
        submission: live.submission,
        worker: agent.worker,
        availabilityZone: agent.availabilityZone,
    });
}
