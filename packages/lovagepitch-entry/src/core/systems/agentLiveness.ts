/**
 * Watches agents while they hold tasks of this entry, and sends again what was not acknowledged.
 */
import type { PeerAddress, SubmissionKey } from "@lovagepitch/types/identity";
import type { EntryState } from "../entryState.js";
import type { AgentRow } from "../tables/agentRow.js";
import type { LiveSubmission } from "../tables/submissionRow.js";
import { taskLifecycle } from "../tables/taskLifecycle.js";
import type { TaskReference } from "../tables/taskRow.js";
import { giveUpAgent } from "./departedAgents.js";
import { isUnfinished } from "./finishing.js";
import { start } from "./placement.js";

/** Time between checks of an agent that holds tasks. */
const checkMilliseconds = 200;
/** Time without acknowledgement after which a start is sent again. */
const resendMilliseconds = 300;
/** Time without any message after which an agent is asked about its tasks. */
const queryMilliseconds = 400;
/** Time that a message may go without any sign of life before the agent counts as gone. */
const goneMilliseconds = 1_200;
/** Time between pings of an agent that counts as gone. */
const silentPingMilliseconds = 1_000;
/** Tasks asked about at once; the others follow at later checks. */
const queriedTasks = 64;

/**
 * Schedules the next check of an agent.
 *
 * @param state - the entry's state
 * @param address - address of the agent
 */
export function scheduleAgentCheck(state: EntryState, address: PeerAddress): void {
    state.wakeAt(state.now + checkMilliseconds, "agent", address);
}

/**
 * Checks an agent: sends again, asks, or gives it up.
 *
 * @param state - the entry's state
 * @param address - address of the agent
 */
export function checkAgent(state: EntryState, address: PeerAddress): void {
    const agent = state.agents.get(address);
    const outstanding = state.outstanding.get(address);
    if (agent?.silent) {
        // Whoever was cut off is used again as soon as it answers.
        state.send(address, { type: "ping" });
        state.wakeAt(state.now + silentPingMilliseconds, "agent", address);
        return;
    }
    if (agent === undefined || outstanding === undefined || outstanding.size === 0) {
        return;
    }
    const awaiting = agent.awaitingSinceMilliseconds;
    if (awaiting !== undefined && state.now - awaiting >= goneMilliseconds) {
        giveUpAgent(state, agent, "no sign of life");
        scheduleAgentCheck(state, address);
        return;
    }
    resendStarts(state, agent, [...outstanding.values()]);
    if (state.now - agent.lastHeardAtMilliseconds >= queryMilliseconds) {
        queryTasks(state, agent, outstanding.values());
    }
    scheduleAgentCheck(state, address);
}

/**
 * Notes that a message needs a sign of life.
 *
 * @param state - the entry's state
 * @param agent - the agent it was sent to
 */
export function awaitSignOfLife(state: EntryState, agent: AgentRow): void {
    if (agent.awaitingSinceMilliseconds === undefined) {
        state.agents.update(agent.address, { awaitingSinceMilliseconds: state.now });
    }
}

function resendStarts(state: EntryState, agent: AgentRow, held: readonly TaskReference[]): void {
    for (const reference of held) {
        const live = state.submissions.get(reference.submission);
        const row = state.tasks.get(reference.submission)?.[reference.index];
        if (live?.state !== "live" || row?.state !== "sent") {
            continue;
        }
        if (state.now - row.sentAtMilliseconds >= resendMilliseconds) {
            state.counters.wastedMessages += 1;
            resend(state, live, reference.index, agent.address);
        }
    }
}

function resend(state: EntryState, live: LiveSubmission, index: number, address: PeerAddress): void {
    const agent = state.agents.get(address);
    if (agent !== undefined) {
        start(state, live, index, agent, "no acknowledgement");
    }
}

function queryTasks(state: EntryState, agent: AgentRow, held: Iterable<TaskReference>): void {
    const indexes = new Map<SubmissionKey, number[]>();
    let count = 0;
    for (const { submission, index } of held) {
        const row = state.tasks.get(submission)?.[index];
        if (row === undefined || !isUnfinished(row) || !taskLifecycle.allows(row.state, "run")) {
            continue;
        }
        indexes.set(submission, [...indexes.get(submission) ?? [], index]);
        count += 1;
        if (count >= queriedTasks) {
            break;
        }
    }
    for (const [submission, asked] of indexes) {
        state.send(agent.address, { type: "queryTasks", submission, indexes: asked });
    }
    if (count > 0) {
        awaitSignOfLife(state, state.agents.get(agent.address) ?? agent);
    }
}
