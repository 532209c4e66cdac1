/**
 * Places waiting tasks on agents that are estimated to have a free slot.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { EntryState } from "../entryState.js";
import { type AgentRow, estimateFreeSlots } from "../tables/agentRow.js";
import type { LiveSubmission } from "../tables/submissionRow.js";
import { taskLifecycle } from "../tables/taskLifecycle.js";
import type { NextTask } from "../tables/waitingQueue.js";
import type { WorkClass } from "../tables/workClass.js";
import {
    countServingEntries,
    createRegisteredLaterProblem,
    estimateUsableWaitMilliseconds,
    isTaskWithinWorker,
} from "./admission.js";
import { scheduleAgentCheck } from "./agentLiveness.js";
import { scheduleProbe } from "./agentRegistry.js";
import { failSubmission, refuseSubmission } from "./finishing.js";

/** Maximum number of agents that one placement compares. */
const maximumComparedAgents = 48;
/** Maximum number of jobs that one round of placement leaves out because of their submission ids. */
const maximumBypassedJobs = 64;

/** What became of the task that was next to be placed. */
type PlacementOutcome =
    | "placed"
    /** The job was answered, because it cannot run any more. */
    | "ended"
    /** Only other jobs can be placed now: workers with free slots were registered after the job's id was issued. */
    | "bypassed"
    /** No worker has a free slot, or nothing waits. */
    | "none";

/**
 * Places as many waiting tasks as possible, one work class after the other.
 *
 * @param state - entry state, updated in place
 */
export function placeTasks(state: EntryState): void {
    for (const workClass of state.workClasses.values()) {
        const hadWaitingTasks = workClass.queue.size > 0;
        const placedTasks = placeWaitingTasks(state, workClass);
        if (hadWaitingTasks) {
            workClass.drainRate.observe(state.now, workClass.queue.size > 0, placedTasks);
        }
    }
}

function placeWaitingTasks(state: EntryState, workClass: WorkClass): number {
    let placedTasks = 0;
    let bypassedJobs = 0;
    while (workClass.queue.size > 0 && bypassedJobs < maximumBypassedJobs) {
        const outcome = placeNextTask(state, workClass);
        if (outcome === "none") {
            break;
        }
        placedTasks += outcome === "placed" ? 1 : 0;
        bypassedJobs += outcome === "bypassed" ? 1 : 0;
    }
    workClass.queue.restoreBypassedJobs();
    return placedTasks;
}

/**
 * Lists the agents of a work class that a task can be placed on now, at most as many as one placement compares.
 *
 * @param state - entry state
 * @param workClass - work class of the task
 * @param registryVersion - registry version of the submission id; agents that registered later are excluded
 * @returns the usable agents, from a random offset when there are more candidates than one placement compares
 */
export function listUsableAgents(
    state: EntryState,
    workClass: WorkClass,
    registryVersion: number,
): readonly AgentRow[] {
    const candidates = workClass.candidates;
    const usable: AgentRow[] = [];
    const offset = candidates.length > maximumComparedAgents
        ? state.dependencies.random.nextInteger(candidates.length)
        : 0;
    const step = Math.max(1, Math.floor(candidates.length / maximumComparedAgents));
    for (let position = 0; position < candidates.length && usable.length < maximumComparedAgents; position += step) {
        const agent = state.agents.get(candidates[(offset + position) % candidates.length]!);
        if (agent !== undefined && isUsable(state, agent) && agent.registrationNumber <= registryVersion) {
            usable.push(agent);
        }
    }
    return usable;
}

function isUsable(state: EntryState, agent: AgentRow): boolean {
    if (agent.load.leaving || agent.isUnresponsive || agent.blockedUntilMilliseconds > state.now) {
        return false;
    }
    return !agent.isEjected || isProbeDue(state, agent);
}

/** Tells whether an ejected agent may be probed; it receives one task at a time. */
function isProbeDue(state: EntryState, agent: AgentRow): boolean {
    return agent.probeAtMilliseconds <= state.now && (state.outstandingTasks.get(agent.address)?.size ?? 0) === 0;
}

function placeNextTask(state: EntryState, workClass: WorkClass): PlacementOutcome {
    const next = chooseNextTask(state, workClass);
    const live = next === undefined ? undefined : state.submissions.get(next.submission);
    if (next === undefined || live?.state !== "live") {
        return "none";
    }
    if (!live.hasStartedTasks && isDeadlineUnreachable(state, workClass, live)) {
        failSubmission(state, live, "the deadline can no longer be met; nothing was started");
        return "ended";
    }
    const task = live.job.tasks[next.index]!;
    const agents = listUsableAgents(state, workClass, live.identity.registryVersion).filter(agent =>
        isTaskWithinWorker(task, agent)
    );
    const offeringAgent = agents.find(agent => agent.offeredSlots > 0);
    const agent = offeringAgent ?? state.policies.placement.choose(agents);
    if (agent === undefined) {
        return handleUnplaceableTask(state, workClass, next, live);
    }
    if (agent.isEjected) {
        scheduleProbe(state, agent.address);
    }
    workClass.queue.take(next);
    state.adjustWaitingTasks(live.job.team, -1);
    state.adjustStartedTasks(live.job.team, 1);
    startTask(state, live, next.index, agent, offeringAgent === undefined ? "free slot" : "offered slot");
    return "placed";
}

/**
 * Ends a job whose last permitted worker has left, and bypasses a job that only its submission id keeps from a worker.
 * Workers that were registered after the id was issued refuse its tasks.
 */
function handleUnplaceableTask(
    state: EntryState,
    workClass: WorkClass,
    next: NextTask,
    live: LiveSubmission,
): PlacementOutcome {
    const { registryVersion } = live.identity;
    const present = workClass.candidates
        .map(address => state.agents.get(address))
        .filter(agent => agent !== undefined)
        .filter(agent => !agent.load.leaving);
    const laterAgents = present.filter(agent => agent.registrationNumber > registryVersion);
    if (laterAgents.length === 0) {
        return "none";
    }
    if (laterAgents.length < present.length) {
        workClass.queue.bypassJob(next);
        return "bypassed";
    }
    if (live.hasStartedTasks) {
        failSubmission(state, live, "the workers that may run the remaining tasks have left");
    }
    else {
        refuseSubmission(state, live, createRegisteredLaterProblem());
    }
    return "ended";
}

/** Tells whether a job has waited too long to meet its deadline; such a job fails before it takes a slot. */
function isDeadlineUnreachable(state: EntryState, workClass: WorkClass, live: LiveSubmission): boolean {
    return state.now - live.arrivedAtMilliseconds > estimateUsableWaitMilliseconds(live.job, workClass);
}

/** Chooses the task to place next: teams below their guaranteed slots come first, then the start order decides. */
function chooseNextTask(state: EntryState, workClass: WorkClass): NextTask | undefined {
    const nextTasks = workClass.queue.listNextTasks();
    if (nextTasks.length <= 1) {
        return nextTasks[0];
    }
    let best: NextTask | undefined;
    let isBestBelowGuarantee = false;
    for (const nextTask of nextTasks) {
        const isBelowGuarantee = isBelowGuaranteedSlots(state, nextTask.team);
        const isBetter = best === undefined || (isBelowGuarantee && !isBestBelowGuarantee)
            || (isBelowGuarantee === isBestBelowGuarantee && nextTask.priority < best.priority);
        if (isBetter) {
            best = nextTask;
            isBestBelowGuarantee = isBelowGuarantee;
        }
    }
    return best;
}

function isBelowGuaranteedSlots(state: EntryState, team: string): boolean {
    const guaranteed = state.guaranteedSlotsByTeam.get(team) ?? 0;
    return (state.startedTasksByTeam.get(team) ?? 0) < guaranteed / countServingEntries(state);
}

/**
 * Sends the start of a task, for the first time or again to the same agent.
 *
 * @param state - entry state, updated in place
 * @param live - submission of the task
 * @param index - index of the task in its job
 * @param agent - row of the receiving agent
 * @param reason - why the start is sent to this agent, for the log
 */
export function startTask(
    state: EntryState,
    live: LiveSubmission,
    index: number,
    agent: AgentRow,
    reason: string,
): void {
    const rows = state.tasks.get(live.submission)!;
    const row = rows[index]!;
    const startSequence = state.getNextStartSequence(agent, live.submission);
    if (!live.hasStartedTasks) {
        state.submissions.set(live.submission, { ...live, hasStartedTasks: true });
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
    const isFirstStart = row.state === "waiting";
    state.agents.update(agent.address, {
        startSequence,
        unacknowledgedTasks: agent.unacknowledgedTasks + (isFirstStart ? 1 : 0),
        offeredSlots: Math.max(0, agent.offeredSlots - 1),
        awaitingReplySinceMilliseconds: agent.awaitingReplySinceMilliseconds ?? now,
    });
    recordOutstandingTask(state, agent.address, live, index);
    state.queueStart(agent.address, createStartMessage(live, index, agent, startSequence));
    if (isFirstStart) {
        state.counters.starts += 1;
    }
    state.logDecision("placed", reason, {
        submission: live.submission,
        task: index,
        worker: agent.worker,
        availabilityZone: agent.availabilityZone,
    });
}

function createStartMessage(
    live: LiveSubmission,
    index: number,
    agent: AgentRow,
    startSequence: number,
): Parameters<EntryState["queueStart"]>[1] {
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

function recordOutstandingTask(state: EntryState, address: PeerAddress, live: LiveSubmission, index: number): void {
    let outstanding = state.outstandingTasks.get(address);
    if (outstanding === undefined) {
        outstanding = new Map();
        state.outstandingTasks.set(address, outstanding);
    }
    if (outstanding.size === 0) {
        scheduleAgentCheck(state, address);
    }
    outstanding.set(`${live.submission} ${index}`, { submission: live.submission, index });
}

/**
 * Tells whether any of the agents has a free slot.
 *
 * @param agents - usable agents of a work class
 * @returns true when at least one is estimated to have a free slot
 */
export function hasFreeSlot(agents: readonly AgentRow[]): boolean {
    return agents.some(agent => estimateFreeSlots(agent) > 0);
}
