/**
 * Frames from and to agents: free capacity, ended runs, orders, and lost and restored connections.
 */
import type { DispatchConfiguration } from "../model/dispatchConfiguration.js";
import { type AgentFrame, type EntryFrame, formatRunKey } from "../model/frames.js";
import { heartbeatIntervalMilliseconds, lostAgentTimeoutMilliseconds } from "../model/timing.js";
import { initialWorkerHealth } from "../policies/workerHealth.js";
import type { AgentRow, EntryState, PlacedTask } from "./entryState.js";
import { receiveRunEnd } from "./runResults.js";

/** An agent without a frame for this long receives no new tasks, in milliseconds; three heartbeats. */
const agentSilenceLimitMilliseconds = 300;

/**
 * Processes a frame from an agent.
 *
 * @param state - state of the entry
 * @param connection - id of the connection that delivered it; the agent's newest connection replaces earlier ones
 * @param frame - received frame
 */
export function receiveAgentFrame(state: EntryState, connection: number, frame: AgentFrame): void {
    const previous = state.agents.get(frame.agent);
    const isFirstFrame = frame.openRuns !== undefined;
    if (previous === undefined) {
        state.log("info", "agent connected", { agent: frame.agent, instance: frame.instance });
    }
    if (previous !== undefined && !isFirstFrame && previous.connection !== connection) {
        return;
    }
    state.agents.set(frame.agent, {
        agent: frame.agent,
        instance: frame.instance,
        availabilityZone: frame.availabilityZone,
        connection,
        lastFrameReceivedAt: state.now,
        newestSentAt: frame.sentAt,
        worker: frame.worker,
        lastSentSequence: isFirstFrame ? 0 : previous?.lastSentSequence ?? 0,
        unacknowledgedStarts: isFirstFrame
            ? []
            : previous?.unacknowledgedStarts.filter(start => start.sequence > frame.includedSequence) ?? [],
        health: previous?.health ?? initialWorkerHealth,
        configurationVersion: frame.configuration.version,
        lastFrameSentAt: isFirstFrame
            ? Number.NEGATIVE_INFINITY
            : previous?.lastFrameSentAt ?? Number.NEGATIVE_INFINITY,
        openRunCount: previous?.openRunCount ?? 0,
    });
    state.isPlacementDue = true;
    receiveConfiguration(state, frame.configuration.configuration, "agent");
    for (const ended of frame.ended) {
        receiveRunEnd(state, ended);
    }
    if (frame.openRuns !== undefined) {
        const openRunKeys = new Set(frame.openRuns.map(formatRunKey));
        endLostRuns(state, placed => placed.agent === frame.agent && !openRunKeys.has(formatRunKey(placed.identity)));
        resendStops(state, frame.agent);
    }
}

/** Sends the stops of ended jobs again, because those sent on an earlier connection may not have arrived. */
function resendStops(state: EntryState, agent: string): void {
    for (const placed of state.placedTasks.values()) {
        if (placed.agent === agent && !state.jobs.has(placed.identity.job)) {
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
        state.pendingOrders.delete(row.agent);
        state.log("warn", "unresponsive agent removed", {
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
            receiveRunEnd(state, { ...placed.identity, end: "lost", ranMilliseconds: state.now - placed.placedAt });
        }
    }
}

/**
 * Tells whether an agent can be sent tasks.
 *
 * @param state - state of the entry
 * @param row - row of the agent
 * @returns true when it is connected, has sent a frame recently and its worker accepts tasks
 */
export function canReceiveTasks(state: EntryState, row: AgentRow): boolean {
    return row.connection !== undefined && row.worker?.acceptsTasks === true
        && state.now - row.lastFrameReceivedAt <= agentSilenceLimitMilliseconds;
}

/**
 * Applies a version of the configuration; a version that is not newer than the one in force is ignored.
 *
 * @param state - state of the entry
 * @param configuration - received version; undefined when the message carried none
 * @param source - sender of the version
 */
export function receiveConfiguration(
    state: EntryState,
    configuration: DispatchConfiguration | undefined,
    source: "store" | "agent",
): void {
    if (configuration === undefined || configuration.version <= (state.configuration?.version ?? 0)) {
        return;
    }
    state.configuration = configuration;
    state.isPlacementDue = true;
    state.log("info", "configuration in force", {
        version: configuration.version,
        routes: configuration.routes.length,
        source,
    });
}

/**
 * Sends each agent its pending orders, a newer configuration, or a heartbeat when one is due.
 *
 * @param state - state of the entry
 */
export function sendFrames(state: EntryState): void {
    const version = state.configuration?.version ?? 0;
    for (const row of [...state.agents.values()]) {
        const orders = state.pendingOrders.get(row.agent);
        const isDue = orders !== undefined || state.now - row.lastFrameSentAt >= heartbeatIntervalMilliseconds
            || version > row.configurationVersion;
        if (row.connection === undefined || !isDue) {
            continue;
        }
        const frame: EntryFrame = {
            entry: state.identity.incarnation,
            sequence: row.lastSentSequence + 1,
            newestSentAt: row.newestSentAt,
            starts: orders?.starts ?? [],
            stops: orders?.stops ?? [],
            entryAddresses: [...state.entryAddresses],
            configuration: {
                version,
                configuration: version > row.configurationVersion ? state.configuration : undefined,
            },
        };
        state.pendingOrders.delete(row.agent);
        state.agents.set(row.agent, {
            ...row,
            lastSentSequence: frame.sequence,
            lastFrameSentAt: state.now,
            configurationVersion: Math.max(version, row.configurationVersion),
        });
        state.outputs.push({ kind: "frame", connection: row.connection, frame });
    }
}
