/**
 * Frames from agents: free capacity, ended runs, and lost and restored connections.
 */
import { type AgentFrame, namesRun } from "../model/frames.js";
import {
    idleSilenceLimitMilliseconds,
    lostAgentTimeoutMilliseconds,
    silenceLimitMilliseconds,
} from "../model/timing.js";
import { noEvacuations } from "../model/zoneEvacuations.js";
import { initialWorkerHealth } from "../policies/workerHealth.js";
import { receiveConfiguration, recordNamedVersion } from "./configurationRelay.js";
import { receiveCrashes } from "./crashReports.js";
import type { AgentRow, EntryState, PlacedTask } from "./entryState.js";
import { receiveEvacuations } from "./evacuationRelay.js";
import { receiveRunEnd } from "./runResults.js";

/**
 * Processes a frame from an agent.
 *
 * @param state - state of the entry
 * @param connection - id of the connection that delivered it; the connection with the agent's newest first frame replaces
 *   earlier ones
 * @param frame - received frame
 * @param receivedAt - when it was read, in monotonic milliseconds
 */
export function receiveAgentFrame(
    state: EntryState,
    connection: number,
    frame: AgentFrame,
    receivedAt = state.now,
): void {
    const previous = state.agents.get(frame.agent);
    const isFirstFrame = frame.openRuns !== undefined;
    if (previous === undefined) {
        state.log("info", "agent connected", { agent: frame.agent, instance: frame.instance });
        state.capacitySearch.recordGain();
    }
    if (previous !== undefined && !isFirstFrame && previous.connection !== connection) {
        return;
    }
    if (previous !== undefined && frame.sentAt < previous.newestSentAt) {
        state.log("info", "late frame of a former connection ignored", {
            agent: frame.agent,
            instance: frame.instance,
            behind: previous.newestSentAt - frame.sentAt,
        });
        return;
    }
    if (isFirstFrame) {
        state.linkBacklog.forget(frame.agent);
    }
    const isNewlyRestored = frame.worker?.isRestored === true && previous?.worker?.isRestored !== true;
    state.linkBacklog.recordIncluded(frame.agent, frame.includedSequence, frame.includedForMilliseconds, receivedAt);
    state.agents.set(frame.agent, {
        agent: frame.agent,
        instance: frame.instance,
        availabilityZone: frame.availabilityZone,
        connection,
        lastFrameReceivedAt: receivedAt,
        newestSentAt: frame.sentAt,
        worker: frame.worker,
        lastSentSequence: isFirstFrame ? 0 : previous?.lastSentSequence ?? 0,
        unacknowledgedStarts: isFirstFrame
            ? []
            : previous?.unacknowledgedStarts.filter(start => start.sequence > frame.includedSequence) ?? [],
        health: previous?.health ?? initialWorkerHealth,
        configurationVersion: frame.configuration.version,
        evacuations: frame.evacuations ?? (isFirstFrame ? undefined : previous?.evacuations) ?? noEvacuations,
        wantsConfiguration: previous?.wantsConfiguration === true || frame.configuration.isRequested === true,
        sentEntriesRevision: isFirstFrame ? 0 : previous?.sentEntriesRevision ?? 0,
        sentCrashRevision: isFirstFrame ? 0 : previous?.sentCrashRevision ?? 0,
        knowsOfWaitingTasks: !isFirstFrame && previous?.knowsOfWaitingTasks === true,
        // An agent that has restored its worker waits for what this entry knows of it.
        lastFrameSentAt: isFirstFrame || isNewlyRestored
            ? Number.NEGATIVE_INFINITY
            : previous?.lastFrameSentAt ?? Number.NEGATIVE_INFINITY,
        openRunCount: previous?.openRunCount ?? 0,
    });
    state.reportedCapacities.record(frame.instance, frame.worker);
    state.isPlacementDue = true;
    recordNamedVersion(state, frame.configuration.version);
    receiveConfiguration(state, frame.configuration.configuration, "agent");
    receiveEvacuations(state, frame.evacuations, "agent");
    receiveCrashes(state, frame.crashes);
    // An agent that has not heard of this process yet speaks of the runs of its predecessor.
    const isAboutThisProcess = frame.entry === undefined || frame.entry === state.identity.incarnation;
    for (const ended of isAboutThisProcess ? frame.ended : []) {
        receiveRunEnd(state, frame.agent, ended);
    }
    if (frame.openRuns !== undefined) {
        const openRuns = isAboutThisProcess ? frame.openRuns : [];
        const isOpen = ({ identity }: PlacedTask): boolean => openRuns.some(run => namesRun(run, identity));
        endLostRuns(state, placed => placed.agent === frame.agent && !isOpen(placed));
        resendStops(state, frame.agent);
    }
}

/** Sends the stops of ended submissions again, because those sent on an earlier connection may not have arrived. */
function resendStops(state: EntryState, agent: string): void {
    for (const placed of state.placedTasks.values()) {
        const { job, submission } = placed.identity;
        if (placed.agent === agent && state.jobs.get(job)?.submission !== submission) {
            state.getPendingOrders(agent).stops.push(placed.identity);
        }
    }
}

/**
 * Handles the loss of a connection. The agent's runs continue, because it reconnects within their lease.
 *
 * @param state - state of the entry
 * @param connection - id of the closed connection
 */
export function receiveDisconnected(state: EntryState, connection: number): void {
    for (const row of [...state.agents.values()]) {
        if (row.connection === connection) {
            state.agents.set(row.agent, { ...row, connection: undefined });
            state.linkBacklog.forget(row.agent);
            state.log("info", "connection to agent lost", { agent: row.agent, instance: row.instance });
        }
    }
}

/**
 * Removes agents that have sent no frame for so long that all runs of the entry there have ended.
 *
 * @param state - state of the entry
 */
export function removeLostAgents(state: EntryState): void {
    for (const row of [...state.agents.values()]) {
        const silence = state.now - row.lastFrameReceivedAt;
        if (silence <= lostAgentTimeoutMilliseconds) {
            continue;
        }
        state.agents.delete(row.agent);
        state.linkBacklog.forget(row.agent);
        state.pendingOrders.delete(row.agent);
        state.isolatedJobs.delete(row.agent);
        const hasLeft = row.connection === undefined && row.openRunCount === 0;
        state.log(hasLeft ? "info" : "warn", hasLeft ? "agent that has left removed" : "unresponsive agent removed", {
            agent: row.agent,
            instance: row.instance,
            silence: Math.round(silence),
        });
        endLostRuns(state, placed => placed.agent === row.agent);
    }
}

function endLostRuns(state: EntryState, isLost: (placed: PlacedTask) => boolean): void {
    for (const placed of [...state.placedTasks.values()]) {
        if (isLost(placed)) {
            const ranMilliseconds = state.now - placed.placedAt;
            receiveRunEnd(state, placed.agent, { ...placed.identity, end: "lost", ranMilliseconds });
        }
    }
}

/**
 * Tells whether an agent can be sent tasks.
 *
 * @param state - state of the entry
 * @param row - row of the agent
 * @returns true when it is connected, has sent a frame recently, its worker accepts tasks and its zone is not evacuated
 */
export function canReceiveTasks(state: EntryState, row: AgentRow): boolean {
    const silenceLimit = row.openRunCount > 0 ? silenceLimitMilliseconds : idleSilenceLimitMilliseconds;
    return row.connection !== undefined && row.worker?.acceptsTasks === true
        && !state.evacuations.zones.includes(row.availabilityZone)
        && state.now - row.lastFrameReceivedAt <= silenceLimit;
}
