/**
 * Agents that are gone: what they may have started is learned from the ledger they left, or given up.
 */
import type { Incarnation } from "@lovagepitch/types/identity";
import type { LedgerHandover } from "@lovagepitch/types/ledger";
import type { EntryState } from "../entryState.js";
import type { AgentRow } from "../tables/agentRow.js";
import type { RemovedAgent } from "../tables/removedAgent.js";
import type { TaskReference } from "../tables/taskRow.js";
import { isUnfinished, markTaskLost } from "./finishing.js";
import { applyReport, releaseTask } from "./taskReports.js";

/** Time for which the ledger of an agent that is gone is awaited. */
const ledgerTimeoutMilliseconds = 300;

/**
 * Counts an agent's incarnation as gone. What it holds is neither placed again nor awaited from it.
 *
 * @param state - the entry's state
 * @param agent - the agent
 * @param reason - why it counts as gone
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
 * Takes in the ledger that an agent left: what it lacks was never started there and is placed again.
 *
 * @param state - the entry's state
 * @param incarnation - the agent's incarnation
 * @param ledger - the ledger
 */
export function applyRemovedAgentLedger(state: EntryState, incarnation: Incarnation, ledger: LedgerHandover): void {
    const removedAgent = state.removedAgents.get(incarnation);
    if (removedAgent === undefined) {
        return;
    }
    state.removedAgents.delete(incarnation);
    const reports = new Map(ledger.submissions.map(one => [one.submission, one.reports]));
    const lowWaterMark = ledger.lowWaterMarks[state.dependencies.identity.incarnation] ?? 0;
    for (const reference of removedAgent.heldTasks) {
        const report = reports.get(reference.submission)?.find(one => one.index === reference.index);
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
 * Gives up what an agent held when no ledger of it was found.
 *
 * @param state - the entry's state
 * @param incarnation - the agent's incarnation
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
    return row !== undefined && isUnfinished(row) && row.agentIncarnation === incarnation;
}
