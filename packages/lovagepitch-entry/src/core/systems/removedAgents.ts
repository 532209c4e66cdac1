/**
 * Handles removed agents: their ledger tells which tasks they have started; without a ledger, these tasks are lost.
 */
import type { Incarnation } from "@lovagepitch/types/identity";
import type { LedgerHandover } from "@lovagepitch/types/ledger";
import type { EntryState } from "../entryState.js";
import type { AgentRow } from "../tables/agentRow.js";
import type { RemovedAgent } from "../tables/removedAgent.js";
import type { TaskReference } from "../tables/taskRow.js";
import { isHeldByAgent, markTaskLost } from "./finishing.js";
import { applyReport, releaseTask } from "./taskReports.js";

/** Time to wait for the ledger of a removed agent. */
const ledgerTimeoutMilliseconds = 300;

/**
 * Removes an agent's incarnation from service and reads its ledger. Until then the tasks that it holds are not placed
 * again, because they may have started.
 *
 * @param state - entry state, updated in place
 * @param agent - row of the agent
 * @param reason - why it is removed; logged, and part of the answer to jobs that fail because of it
 */
export function removeAgent(state: EntryState, agent: AgentRow, reason: string): void {
    const heldTasks = [...state.outstandingTasks.get(agent.address)?.values() ?? []];
    state.outstandingTasks.delete(agent.address);
    state.bids.delete(agent.address);
    state.agents.update(agent.address, {
        isUnresponsive: true,
        unacknowledgedTasks: 0,
        offeredSlots: 0,
        awaitingReplySinceMilliseconds: undefined,
    });
    state.logDecision("ejected", reason, { worker: agent.worker, availabilityZone: agent.availabilityZone });
    if (heldTasks.length === 0) {
        return;
    }
    const { address, incarnation, worker } = agent;
    const earlier = state.removedAgents.get(incarnation)?.heldTasks ?? [];
    state.removedAgents.set(incarnation, {
        address,
        incarnation,
        worker,
        reason,
        heldTasks: [...earlier, ...heldTasks],
    });
    state.emit({ type: "readHandover", kind: "ledger", incarnation });
    state.scheduleTimer(state.now + ledgerTimeoutMilliseconds, "ledger", incarnation);
}

/**
 * Applies the ledger of a removed agent. A task without a record was never started and is placed again, unless its
 * record may have been dropped below the low-water mark.
 *
 * @param state - entry state, updated in place
 * @param incarnation - incarnation of the removed agent
 * @param ledger - ledger that the agent handed over
 */
export function applyRemovedAgentLedger(state: EntryState, incarnation: Incarnation, ledger: LedgerHandover): void {
    const removedAgent = state.removedAgents.get(incarnation);
    if (removedAgent === undefined) {
        return;
    }
    state.removedAgents.delete(incarnation);
    const reports = new Map(ledger.submissions.map(record => [record.submission, record.reports]));
    const lowWaterMark = ledger.lowWaterMarks[state.dependencies.identity.incarnation] ?? 0;
    for (const reference of removedAgent.heldTasks) {
        const report = reports.get(reference.submission)?.find(other => other.index === reference.index);
        const live = state.submissions.get(reference.submission);
        if (live?.state !== "live" || !isStillHeld(state, reference, incarnation)) {
            continue;
        }
        if (report !== undefined) {
            applyReport(state, removedAgent, live, report);
        }
        else if (live.identity.sequence > lowWaterMark) {
            releaseTask(state, removedAgent, live, reference.index);
        }
        markLostIfHeld(state, removedAgent, reference);
    }
}

/**
 * Marks the tasks of a removed agent as lost when no ledger was found.
 *
 * @param state - entry state, updated in place
 * @param incarnation - incarnation of the removed agent
 */
export function markHeldTasksLost(state: EntryState, incarnation: Incarnation): void {
    const removedAgent = state.removedAgents.get(incarnation);
    state.removedAgents.delete(incarnation);
    for (const reference of removedAgent?.heldTasks ?? []) {
        markLostIfHeld(state, removedAgent!, reference);
    }
}

function markLostIfHeld(state: EntryState, removedAgent: RemovedAgent, reference: TaskReference): void {
    if (isStillHeld(state, reference, removedAgent.incarnation)) {
        markTaskLost(state, reference, `worker ${removedAgent.worker} was lost: ${removedAgent.reason}`);
    }
}

function isStillHeld(state: EntryState, reference: TaskReference, incarnation: Incarnation): boolean {
    const row = state.tasks.get(reference.submission)?.[reference.index];
    return row !== undefined && isHeldByAgent(row) && row.agentIncarnation === incarnation;
}
