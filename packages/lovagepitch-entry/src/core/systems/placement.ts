/**
 * Places waiting tasks on agents that are believed to have a free slot.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { EntryState } from "../entryState.js";
import { type AgentRow, estimateFreeSlots } from "../tables/agentRow.js";
import type { LiveSubmission } from "../tables/submissionRow.js";
import { taskLifecycle } from "../tables/taskLifecycle.js";
import type { WaitingHead } from "../tables/waitingQueue.js";
import type { WorkClass } from "../tables/workClass.js";
import { countEntries, findUsableWait, fits } from "./admission.js";
import { scheduleAgentCheck } from "./agentLiveness.js";
import { failSubmission } from "./finishing.js";

/** Agents that one placement compares at most. */
const comparedAgents = 48;

/**
 * Places what can be placed, class by class.
 *
 * @param state - the entry's state
 */
export function placeTasks(state: EntryState): void {
    for (const workClass of state.workClasses.values()) {
        const waited = workClass.queue.size > 0;
        let placed = 0;
        while (workClass.queue.size > 0 && placeNext(state, workClass)) {
            placed += 1;
        }
        if (waited) {
            workClass.drainRate.observe(state.now, workClass.queue.size > 0, placed);
        }
    }
}

/**
 * Lists the agents of a class that may be given a task now, at most as many as one placement compares.
 *
 * @param state - the entry's state
 * @param workClass - the class
 * @param registryVersion - agents registered later are left out
 * @returns the agents
 */
export function usableAgents(state: EntryState, workClass: WorkClass, registryVersion: number): readonly AgentRow[] {
    const candidates = workClass.candidates;
    const usable: AgentRow[] = [];
    const start = candidates.length > comparedAgents ? state.parts.random.nextInteger(candidates.length) : 0;
    const step = Math.max(1, Math.floor(candidates.length / comparedAgents));
    for (let position = 0; position < candidates.length && usable.length < comparedAgents; position += step) {
        const agent = state.agents.get(candidates[(start + position) % candidates.length]!);
        if (agent !== undefined && isUsable(state, agent) && agent.registrationNumber <= registryVersion) {
            usable.push(agent);
        }
    }
    return usable;
}

function isUsable(state: EntryState, agent: AgentRow): boolean {
    if (agent.load.leaving || agent.silent || agent.blockedUntilMilliseconds > state.now) {
        return false;
    }
    return !agent.ejected || isProbeDue(state, agent);
}

/** An ejected agent is tried with one task at a time. */
function isProbeDue(state: EntryState, agent: AgentRow): boolean {
    return agent.probeAtMilliseconds <= state.now && (state.outstanding.get(agent.address)?.size ?? 0) === 0;
}

function placeNext(state: EntryState, workClass: WorkClass): boolean {
    const head = chooseHead(state, workClass);
    const live = head === undefined ? undefined : state.submissions.get(head.submission);
    if (head === undefined || live?.state !== "live") {
        return false;
    }
    if (!live.begun && isHopeless(state, workClass, live)) {
        failSubmission(state, live, "the deadline can no longer be met; nothing was started");
        return true;
    }
    const task = live.job.tasks[head.index]!;
    const agents = usableAgents(state, workClass, live.identity.registryVersion).filter(agent => fits(task, agent));
    const offering = agents.find(agent => agent.offeredSlots > 0);
    const agent = offering ?? state.policies.placement.choose(agents);
    if (agent === undefined) {
        return false;
    }
    workClass.queue.take(head);
    state.countWaiting(live.job.team, -1);
    state.countStarted(live.job.team, 1);
    start(state, live, head.index, agent, offering === undefined ? "free slot" : "offered slot");
    return true;
}

/** Work that would end too late is dropped before it takes a slot. */
function isHopeless(state: EntryState, workClass: WorkClass, live: LiveSubmission): boolean {
    return state.now - live.arrivedAtMilliseconds > findUsableWait(live.job, workClass);
}

/** Teams under their guaranteed slots go first; among equals, the start order decides. */
function chooseHead(state: EntryState, workClass: WorkClass): WaitingHead | undefined {
    const heads = workClass.queue.heads();
    if (heads.length <= 1) {
        return heads[0];
    }
    let best: WaitingHead | undefined;
    let bestGuaranteed = false;
    for (const head of heads) {
        const guaranteed = isUnderGuarantee(state, head.team);
        const isBetter = best === undefined || (guaranteed && !bestGuaranteed)
            || (guaranteed === bestGuaranteed && head.priority < best.priority);
        if (isBetter) {
            best = head;
            bestGuaranteed = guaranteed;
        }
    }
    return best;
}

function isUnderGuarantee(state: EntryState, team: string): boolean {
    const guaranteed = state.guaranteedSlots.get(team) ?? 0;
    return (state.teamTasks.get(team) ?? 0) < guaranteed / countEntries(state);
}

/**
 * Sends the start of a task, for the first time or again to the same agent.
 *
 * @param state - the entry's state
 * @param live - the task's submission
 * @param index - the task
 * @param agent - the agent
 * @param reason - why this agent
 */
export function start(state: EntryState, live: LiveSubmission, index: number, agent: AgentRow, reason: string): void {
    const rows = state.tasks.get(live.submission)!;
    const row = rows[index]!;
    const startSequence = state.nextStartSequence(agent, live.submission);
    if (!live.begun) {
        state.submissions.set(live.submission, { ...live, begun: true });
    }
    const now = state.now;
    rows[index] = {
        ...row,
        state: taskLifecycle.next(row.state, "send"),
        startSequence,
        sentAtMilliseconds: now,
        agent: agent.address,
        agentIncarnation: agent.incarnation,
        worker: agent.worker,
        availabilityZone: agent.availabilityZone,
    };
    const isFirst = row.state === "waiting";
    state.agents.update(agent.address, {
        startSequence,
        unacknowledgedTasks: agent.unacknowledgedTasks + (isFirst ? 1 : 0),
        offeredSlots: Math.max(0, agent.offeredSlots - 1),
        awaitingSinceMilliseconds: agent.awaitingSinceMilliseconds ?? now,
    });
    remember(state, agent.address, live, index);
    state.sendStart(agent.address, createStart(live, index, agent, startSequence));
    if (isFirst) {
        state.counters.starts += 1;
    }
    state.decide("placed", reason, {
        submission: live.submission,
        task: index,
        worker: agent.worker,
        availabilityZone: agent.availabilityZone,
    });
}

function createStart(
    live: LiveSubmission,
    index: number,
    agent: AgentRow,
    startSequence: number,
): Parameters<EntryState["sendStart"]>[1] {
    const task = live.job.tasks[index]!;
    return {
        type: "startTasks",
        submission: live.submission,
        agent: agent.incarnation,
        startSequence,
        team: live.job.team,
        service: live.job.service,
        kind: live.job.kind,
        deadlineAtMilliseconds: live.deadlineAtMilliseconds,
        tasks: [{ index, payload: task.payload, expectedMilliseconds: task.expectedMilliseconds }],
    };
}

function remember(state: EntryState, address: PeerAddress, live: LiveSubmission, index: number): void {
    let outstanding = state.outstanding.get(address);
    if (outstanding === undefined) {
        outstanding = new Map();
        state.outstanding.set(address, outstanding);
    }
    if (outstanding.size === 0) {
        scheduleAgentCheck(state, address);
    }
    outstanding.set(`${live.submission} ${index}`, { submission: live.submission, index });
}

/**
 * Tells whether any agent of a class has room.
 *
 * @param agents - usable agents
 * @returns true when one is believed to have a free slot
 */
export function hasFreeSlot(agents: readonly AgentRow[]): boolean {
    return agents.some(agent => estimateFreeSlots(agent) > 0);
}
