/**
 * Checks the liveness of agents that hold tasks of this entry, and resends unacknowledged starts.
 */
import type { PeerAddress, SubmissionKey } from "@lovagepitch/types/identity";
import type { EntryState } from "../entryState.js";
import type { AgentRow } from "../tables/agentRow.js";
import type { LiveSubmission } from "../tables/submissionRow.js";
import { taskLifecycle } from "../tables/taskLifecycle.js";
import type { TaskReference } from "../tables/taskRow.js";
import { isHeldByAgent } from "./finishing.js";
import { startTask } from "./placement.js";
import { removeAgent } from "./removedAgents.js";

/** Time between checks of an agent that holds tasks. */
const checkIntervalMilliseconds = 200;
/** Time without acknowledgement after which a start is resent. */
const resendAfterMilliseconds = 300;
/** Time without any message from an agent after which it is queried about its tasks. */
const queryAfterMilliseconds = 400;
/** Time without any reply to a message after which the agent is removed. */
const replyTimeoutMilliseconds = 1_200;
/** Time between pings of an unresponsive agent. */
const unresponsivePingIntervalMilliseconds = 1_000;
/** Maximum number of tasks that one check queries; the others follow at later checks. */
const maximumQueriedTasks = 64;

/**
 * Schedules the next check of an agent.
 *
 * @param state - entry state, updated in place
 * @param address - address of the agent to check
 */
export function scheduleAgentCheck(state: EntryState, address: PeerAddress): void {
    state.scheduleTimer(state.now + checkIntervalMilliseconds, "agent", address);
}

/**
 * Checks an agent: resends starts, queries tasks, or removes the agent.
 *
 * @param state - entry state, updated in place
 * @param address - address of the agent to check
 */
export function checkAgent(state: EntryState, address: PeerAddress): void {
    const agent = state.agents.get(address);
    const outstandingTasks = state.outstandingTasks.get(address);
    if (agent?.isUnresponsive) {
        // An agent that was partitioned is used again as soon as it replies.
        state.send(address, { type: "ping" });
        state.scheduleTimer(state.now + unresponsivePingIntervalMilliseconds, "agent", address);
        return;
    }
    if (agent === undefined || outstandingTasks === undefined || outstandingTasks.size === 0) {
        return;
    }
    const awaitingSince = agent.awaitingReplySinceMilliseconds;
    if (awaitingSince !== undefined && state.now - awaitingSince >= replyTimeoutMilliseconds) {
        removeAgent(state, agent, "no sign of life");
        scheduleAgentCheck(state, address);
        return;
    }
    resendStarts(state, agent, [...outstandingTasks.values()]);
    if (state.now - agent.lastMessageAtMilliseconds >= queryAfterMilliseconds) {
        queryHeldTasks(state, agent, outstandingTasks.values());
    }
    scheduleAgentCheck(state, address);
}

/**
 * Records that a reply is awaited from an agent.
 *
 * @param state - entry state, updated in place
 * @param agent - row of the agent that a message was sent to
 */
export function markAwaitingReply(state: EntryState, agent: AgentRow): void {
    if (agent.awaitingReplySinceMilliseconds === undefined) {
        state.agents.update(agent.address, { awaitingReplySinceMilliseconds: state.now });
    }
}

function resendStarts(state: EntryState, agent: AgentRow, heldTasks: readonly TaskReference[]): void {
    for (const reference of heldTasks) {
        const live = state.submissions.get(reference.submission);
        const row = state.tasks.get(reference.submission)?.[reference.index];
        if (live?.state !== "live" || row?.state !== "sent") {
            continue;
        }
        if (state.now - row.sentAtMilliseconds >= resendAfterMilliseconds) {
            state.counters.wastedMessages += 1;
            resendTaskStart(state, live, reference.index, agent.address);
        }
    }
}

function resendTaskStart(state: EntryState, live: LiveSubmission, index: number, address: PeerAddress): void {
    const agent = state.agents.get(address);
    if (agent !== undefined) {
        startTask(state, live, index, agent, "no acknowledgement");
    }
}

function queryHeldTasks(state: EntryState, agent: AgentRow, heldTasks: Iterable<TaskReference>): void {
    const indexes = new Map<SubmissionKey, number[]>();
    let queriedTasks = 0;
    for (const { submission, index } of heldTasks) {
        const row = state.tasks.get(submission)?.[index];
        if (row === undefined || !isHeldByAgent(row) || !taskLifecycle.allows(row.state, "run")) {
            continue;
        }
        indexes.set(submission, [...indexes.get(submission) ?? [], index]);
        queriedTasks += 1;
        if (queriedTasks >= maximumQueriedTasks) {
            break;
        }
    }
    for (const [submission, queriedIndexes] of indexes) {
        state.send(agent.address, { type: "queryTasks", submission, indexes: queriedIndexes });
    }
    if (queriedTasks > 0) {
        markAwaitingReply(state, state.agents.get(agent.address) ?? agent);
    }
}
