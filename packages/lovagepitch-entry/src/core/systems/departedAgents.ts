/**
 * Agents that are gone: what they may have started is learned from the ledger they left, or given up.
 */
import type { Incarnation } from "@lovagepitch/types/identity";
import type { LedgerHandover } from "@lovagepitch/types/ledger";
import type { EntryState } from "../entryState.js";
import type { AgentRow } from "../tables/agentRow.js";
import type { DepartedAgent } from "../tables/departedAgent.js";
import type { TaskReference } from "../tables/taskRow.js";
import { isUnfinished, loseTask } from "./finishing.js";
import { acceptReport, releaseTask } from "./taskReports.js";

/** Time for which the ledger of an agent that is gone is awaited. */
const ledgerMilliseconds = 300;

/**
 * Counts an agent's incarnation as gone. What it holds is neither placed again nor awaited from it.
 *
 * @param state - the entry's state
 * @param agent - the agent
 * @param reason - why it counts as gone
 */
export function giveUpAgent(state: EntryState, agent: AgentRow, reason: string): void {
    const held = [...state.outstanding.get(agent.address)?.values() ?? []];
    state.outstanding.delete(agent.address);
    state.bids.delete(agent.address);
    state.agents.update(agent.address, {
        silent: true,
        unacknowledgedTasks: 0,
        offeredSlots: 0,
        awaitingSinceMilliseconds: undefined,
    });
    state.decide("ejected", reason, { worker: agent.worker, availabilityZone: agent.availabilityZone });
    if (held.length === 0) {
        return;
    }
    const { address, incarnation, worker } = agent;
    const earlier = state.departed.get(incarnation)?.held ?? [];
    state.departed.set(incarnation, { address, incarnation, worker, reason, held: [...earlier, ...held] });
    state.emit({ type: "readHandover", kind: "ledger", incarnation });
    state.wakeAt(state.now + ledgerMilliseconds, "ledger", incarnation);
}

/**
 * Takes in the ledger that an agent left: what it lacks was never started there and is placed again.
 *
 * @param state - the entry's state
 * @param incarnation - the agent's incarnation
 * @param ledger - the ledger
 */
export function acceptDepartedLedger(state: EntryState, incarnation: Incarnation, ledger: LedgerHandover): void {
    const departed = state.departed.get(incarnation);
    if (departed === undefined) {
        return;
    }
    state.departed.delete(incarnation);
    const reports = new Map(ledger.submissions.map(one => [one.submission, one.reports]));
    const mark = ledger.lowWaterMarks[state.parts.identity.incarnation] ?? 0;
    for (const reference of departed.held) {
        const report = reports.get(reference.submission)?.find(one => one.index === reference.index);
        const live = state.submissions.get(reference.submission);
        if (live?.state !== "live" || !isStillHeld(state, reference, incarnation)) {
            continue;
        }
        if (report !== undefined) {
            acceptReport(state, departed, live, report);
        }
        else if (live.identity.sequence > mark) {
            releaseTask(state, departed, live, reference.index);
        }
        loseIfHeld(state, departed, reference);
    }
}

/**
 * Gives up what an agent held when no ledger of it was found.
 *
 * @param state - the entry's state
 * @param incarnation - the agent's incarnation
 */
export function loseDeparted(state: EntryState, incarnation: Incarnation): void {
    const departed = state.departed.get(incarnation);
    state.departed.delete(incarnation);
    for (const reference of departed?.held ?? []) {
        loseIfHeld(state, departed!, reference);
    }
}

function loseIfHeld(state: EntryState, departed: DepartedAgent, reference: TaskReference): void {
    if (isStillHeld(state, reference, departed.incarnation)) {
        loseTask(state, reference, `worker ${departed.worker} was lost: ${departed.reason}`);
    }
}

function isStillHeld(state: EntryState, reference: TaskReference, incarnation: Incarnation): boolean {
    const row = state.tasks.get(reference.submission)?.[reference.index];
    return row !== undefined && isUnfinished(row) && row.agentIncarnation === incarnation;
}
