/**
 * Places waiting tasks on workers, and ends jobs that can no longer finish in time.
 */
import { formatRunKey, type Isolation, pickRunIdentity, type StartOrder } from "../model/frames.js";
import type { WaitingJob } from "../policies/jobOrder.js";
import { canStartJob } from "../policies/jobStart.js";
import type { PriorityRank } from "../policies/priorityRanks.js";
import { computeQueueAllowance } from "../policies/queueAllowance.js";
import type { ShareState } from "../policies/queueShares.js";
import { refuseHopelessJobs } from "./earlyRefusal.js";
import { endJob } from "./endJob.js";
import {
    type EntryState,
    estimateWork,
    formatTaskKey,
    type JobRow,
    mayHaveStarted,
    type TaskHistory,
} from "./entryState.js";
import { holdForLink } from "./linkAllowance.js";
import { PlacementRound, sharedIsolation } from "./placementRound.js";
import { refreshWorkerSpeeds } from "./speedReports.js";
import { refuseJob } from "./submissions.js";
import { awaitsDatagrams } from "./unreadDatagrams.js";

/** Interval at which placement is retried when no event has triggered it, in milliseconds. */
const placementIntervalMilliseconds = 25;

/** Longest time that an order is queued at an agent, in milliseconds; about one task ends there in this time. */
const maximumQueueTimeMilliseconds = 30;

/**
 * Places as many waiting tasks as the workers have capacity for, in the order of their jobs.
 *
 * @param state - state of the entry
 */
export function placeTasks(state: EntryState): void {
    if (state.now < state.placesFrom || awaitsDatagrams(state)) {
        return;
    }
    // The end of a worker's pause triggers no event, so placement also runs at intervals.
    if (!state.isPlacementDue && state.now - state.lastPlacementAt < placementIntervalMilliseconds) {
        return;
    }
    state.isPlacementDue = false;
    state.lastPlacementAt = state.now;
    const waiting = state.policies.jobOrder.sort(listWaitingJobs(state), state.now);
    state.unplacedTasks = 0;
    state.heldTasks = 0;
    if (waiting.length === 0) {
        return;
    }
    refreshWorkerSpeeds(state);
    const round = new PlacementRound(state);
    const isContended = waiting.length > 1 || round.hasQueuedOrders;
    let placedMilliCores = 0;
    for (const { row } of waiting) {
        if (isShutOut(state, round, row)) {
            refuseJob(state, row, "kind-confined");
            continue;
        }
        const canPlace = !state.stoppingRuns.has(row.job.id) && !state.heldJobs.has(row.job.id)
            && !state.inquiries.has(row.job.id) && canPlaceJob(state, round, row, isContended);
        const isHeld = canPlace
            && holdForLink(state, round.link, row, inputs => refuseJob(state, row, "no-room-in-time", inputs));
        if (canPlace && !isHeld) {
            placedMilliCores += placeJob(state, round, row);
        }
        const waitingTasks = state.jobs.get(row.job.id)?.waitingTasks.length ?? 0;
        if (waitingTasks > 0) {
            round.separation.recordWaiting(row.job);
        }
        if (isHeld || !round.link.canContinueJob) {
            state.heldTasks += waitingTasks;
        }
        else {
            state.unplacedTasks += waitingTasks;
        }
    }
    state.roomRate.record(placedMilliCores, state.unplacedTasks > 0, round.heardShare, state.now);
    if (isContended) {
        refuseHopelessJobs(state, round, waiting);
    }
}

/** Tells whether a job that has not started is of a confined kind that can't serve it in time. */
function isShutOut(state: EntryState, round: PlacementRound, row: JobRow): boolean {
    const { latestStart, longestTaskMilliseconds } = row.deadlines;
    return !mayHaveStarted(row)
        && round.separation.isShutOut(row.job, longestTaskMilliseconds, latestStart - state.now);
}

function listWaitingJobs(state: EntryState): readonly (WaitingJob & { readonly row: JobRow })[] {
    return [...state.jobs.values()]
        // An expired job is ended in the same tick; orders and their stops would cross in one frame.
        .filter(row => row.waitingTasks.length > 0 && state.now <= row.deadlines.expiresAt)
        .map(row => ({
            row,
            job: row.job,
            acceptedAt: row.acceptedAt,
            waitingTasks: row.waitingTasks.length,
            isBegun: mayHaveStarted(row),
            isShort: readShareState(state, row) === "short",
            priority: row.job.priority,
            latestStart: row.deadlines.latestStart,
        }));
}

function canPlaceJob(state: EntryState, round: PlacementRound, row: JobRow, isContended: boolean): boolean {
    return mayHaveStarted(row) || canStartJob({
        rank: rankJob(state, row),
        maximumParallelTasks: round.countFittingTasks(row.job, "capacity"),
        placeableTasks: round.countFittingTasks(row.job, "available"),
        spareMilliseconds: row.deadlines.latestStart - state.now,
        isContended,
    });
}

function readShareState(state: EntryState, { job }: JobRow): ShareState {
    return state.policies.queueShares.readState(job.service, job.route, state.now);
}

function rankJob(state: EntryState, row: JobRow): PriorityRank {
    const share = readShareState(state, row);
    if (share === "short") {
        return "first";
    }
    return state.priorityRanks.rank(row.job.service, row.job.priority, state.now);
}

/** Places waiting tasks of a job and returns the room that they take, in thousandths of a core. */
function placeJob(state: EntryState, round: PlacementRound, row: JobRow): number {
    const placements: Placement[] = [];
    for (const task of row.waitingTasks) {
        const placement = round.link.canContinueJob ? placeTask(state, round, row, task) : undefined;
        if (placement === undefined) {
            break;
        }
        placements.push(placement);
    }
    if (placements.length === 0) {
        return 0;
    }
    const waitingTasks = row.waitingTasks.slice(placements.length);
    state.jobs.set(row.job.id, { ...row, waitingTasks, openRuns: row.openRuns + placements.length });
    state.log("info", "tasks placed", {
        job: row.job.id,
        submission: row.submission,
        tasks: placements.map(({ task, run, instance }) => [task, run, instance]),
        waitingTasks: waitingTasks.length,
        ...readShareState(state, row) === "short" ? { isShort: true } : {},
        sinceArrival: Math.round(state.now - row.acceptedAt),
        untilLatestStart: Math.round(row.deadlines.latestStart - state.now),
        configurationVersion: state.configuration?.version,
    });
    const { service, route, needs } = row.job;
    const work = estimateWork(row.job, placements.length);
    state.policies.queueShares.recordPlacement(service, route, work, state.now);
    return placements.length * needs.milliCores;
}

/** A placed task: its position, run number and the instance it runs on. */
interface Placement {
    readonly task: number;
    readonly run: number;
    readonly instance: string;
}

function placeTask(state: EntryState, round: PlacementRound, row: JobRow, task: number): Placement | undefined {
    const { job } = row;
    const taskKey = formatTaskKey(job.id, task);
    const history = state.taskHistories.get(taskKey);
    const isBegun = mayHaveStarted(row);
    const allowance = computeQueueAllowance(isBegun, rankJob(state, row), job.needs);
    const spareMilliseconds = row.deadlines.latestStart - state.now;
    const { isolation } = round.separation.plan(job);
    const mayUseKeptWorkers = spareMilliseconds <= placementIntervalMilliseconds;
    const permitted = round.listCandidates(job, history?.avoidedAgents ?? [], allowance, mayUseKeptWorkers);
    const candidates = round.preferUsedWorkers(job, permitted);
    const demand = {
        needs: job.needs,
        estimatedMilliseconds: job.estimatedMilliseconds,
        longestMilliseconds: row.deadlines.longestTaskMilliseconds,
        spareMilliseconds,
    };
    const chosen = state.policies.workerSelection.choose(candidates, demand, state.random);
    const agent = chosen === undefined ? undefined : state.agents.get(chosen.agent);
    if (agent === undefined) {
        return undefined;
    }
    const order = createOrder(state, row, task, history, isolation);
    const identity = pickRunIdentity(order);
    if (isolation !== undefined) {
        state.isolatedJobs.set(agent.agent, isolation === "job" ? job.id : sharedIsolation);
    }
    state.taskHistories.set(taskKey, {
        failures: 0,
        hasStalled: false,
        avoidedAgents: [],
        ...history,
        latestRun: order.run,
    });
    state.placedTasks.set(formatRunKey(identity), {
        identity,
        agent: agent.agent,
        needs: job.needs,
        placedAt: state.now,
    });
    state.getPendingOrders(agent.agent).starts.push(order);
    round.reserve(agent.agent, job.needs);
    round.link.reserve(agent.agent, job);
    state.agents.set(agent.agent, {
        ...agent,
        openRunCount: agent.openRunCount + 1,
        unacknowledgedStarts: [...agent.unacknowledgedStarts, {
            sequence: agent.lastSentSequence + 1,
            needs: job.needs,
        }],
    });
    return { task, run: order.run, instance: agent.instance };
}

function createOrder(
    state: EntryState,
    row: JobRow,
    task: number,
    history: TaskHistory | undefined,
    isolation: Isolation | undefined,
): StartOrder {
    const { job } = row;
    const spareMilliseconds = row.deadlines.latestStart - state.now;
    return {
        job: job.id,
        task,
        run: (history?.latestRun ?? 0) + 1,
        submission: row.submission,
        service: job.service,
        specification: job.specification,
        needs: job.needs,
        estimatedMilliseconds: job.estimatedMilliseconds,
        mayWaitMilliseconds: Math.max(0, Math.min(maximumQueueTimeMilliseconds, spareMilliseconds)),
        urgency: {
            priority: job.priority,
            isBegun: mayHaveStarted(row),
            ...readShareState(state, row) === "short" ? { isShort: true } : {},
            spareMilliseconds: Math.round(spareMilliseconds),
        },
        maximumPerWorker: job.maximumPerWorker,
        requiredLabel: job.requiredLabel,
        route: job.route,
        ...history?.hasStalled === true ? { hasStalled: true } : {},
        ...isolation === undefined ? {} : { isolation },
    };
}

/**
 * Refuses jobs that can no longer start in time, and interrupts started jobs whose result would be useless.
 *
 * @param state - state of the entry
 */
export function expireJobs(state: EntryState): void {
    for (const row of [...state.jobs.values()]) {
        if (!mayHaveStarted(row) && state.now > row.deadlines.latestStart) {
            const round = new PlacementRound(state);
            const hasWorkers = round.countFittingTasks(row.job, "capacity") > 0;
            refuseJob(state, row, hasWorkers ? "no-room-in-time" : "no-worker", {
                fittingTasks: round.countFittingTasks(row.job, "available"),
                freeMilliCores: round.sumFreeMilliCores(row.job),
            });
        }
        else if (state.now > row.deadlines.expiresAt) {
            endJob(state, row, { kind: "interrupted", reason: "the result would be of no use any more" });
        }
    }
}

/**
 * Finds the next instant at which an open job expires.
 *
 * @param state - state of the entry
 * @returns monotonic milliseconds, or undefined when no job is open
 */
export function findNextExpiry(state: EntryState): number | undefined {
    let next: number | undefined;
    for (const row of state.jobs.values()) {
        const expiresAt = mayHaveStarted(row) ? row.deadlines.expiresAt : row.deadlines.latestStart;
        next = next === undefined ? expiresAt : Math.min(next, expiresAt);
    }
    return next;
}
