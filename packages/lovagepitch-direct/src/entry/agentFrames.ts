/**
 * Frames of agents: free capacity, ended runs, and the agents' comings and goings.
 */
import type { DispatchConfiguration } from "../model/dispatchConfiguration.js";
import { type AgentFrame, type EntryFrame, formatRunKey } from "../model/frames.js";
import { heartbeatIntervalMilliseconds, lostAgentBoundMilliseconds } from "../model/timing.js";
import { initialWorkerHealth } from "../policies/workerHealth.js";
import type { AgentRow, EntryState, PlacedTask } from "./entryState.js";
import { receiveRunEnd } from "./runResults.js";

/** An agent that was silent for this long gets no new tasks; three heartbeats. */
const agentSilenceLimitMilliseconds = 300;

/**
 * Takes a frame of an agent.
 *
 * @param state - the entry
 * @param connection - where it came from; the agent's newest connection replaces earlier ones
 * @param frame - the frame
 */
export function receiveAgentFrame(state: EntryState, connection: number, frame: AgentFrame): void {
    const known = state.agents.get(frame.agent);
    const isFirstFrame = frame.openRuns !== undefined;
    if (known === undefined) {
        state.log("info", "agent connected", { agent: frame.agent, instance: frame.instance });
    }
    if (known !== undefined && !isFirstFrame && known.connection !== connection) {
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
        lastSentSequence: isFirstFrame ? 0 : known?.lastSentSequence ?? 0,
        unacknowledgedStarts: isFirstFrame
            ? []
            : known?.unacknowledgedStarts.filter(start => start.sequence > frame.includedSequence) ?? [],
        health: known?.health ?? initialWorkerHealth,
        configurationVersion: frame.configuration.version,
        lastFrameSentAt: isFirstFrame ? Number.NEGATIVE_INFINITY : known?.lastFrameSentAt ?? Number.NEGATIVE_INFINITY,
        openRunCount: known?.openRunCount ?? 0,
    });
    state.isPlacementDue = true;
    receiveConfiguration(state, frame.configuration.configuration, "agent");
    for (const ended of frame.ended) {
        receiveRunEnd(state, ended);
    }
    if (frame.openRuns !== undefined) {
        const open = new Set(frame.openRuns.map(formatRunKey));
        endLostRuns(state, placed => placed.agent === frame.agent && !open.has(formatRunKey(placed.identity)));
        resendStops(state, frame.agent);
    }
}

/** Stops that were sent on an earlier connection may not have arrived. */
function resendStops(state: EntryState, agent: string): void {
    for (const placed of state.placed.values()) {
        if (placed.agent === agent && !state.jobs.has(placed.identity.job)) {
            state.getPendingOrders(agent).stops.push(placed.identity);
        }
    }
}

/**
 * Takes the end of a connection. The agent's runs go on; it connects again within their lease.
 *
 * @param state - the entry
 * @param connection - the connection
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
 * Forgets agents that have been silent for so long that none of the entry's runs is left there.
 *
 * @param state - the entry
 */
export function removeLostAgents(state: EntryState): void {
    for (const row of [...state.agents.values()]) {
        const silence = state.now - row.lastFrameReceivedAt;
        if (silence <= lostAgentBoundMilliseconds) {
            continue;
        }
        state.agents.delete(row.agent);
        state.orders.delete(row.agent);
        state.log("warn", "agent is lost", { agent: row.agent, instance: row.instance, silence: Math.round(silence) });
        endLostRuns(state, placed => placed.agent === row.agent);
    }
}

function endLostRuns(state: EntryState, isLost: (placed: PlacedTask) => boolean): void {
    for (const placed of [...state.placed.values()]) {
        if (isLost(placed)) {
            receiveRunEnd(state, { ...placed.identity, end: "lost", ranMilliseconds: state.now - placed.placedAt });
        }
    }
}

/**
 * Tells whether an agent can be sent tasks.
 *
 * @param state - the entry
 * @param row - the agent
 * @returns true when it is connected, was heard of lately and takes tasks
 */
export function canReceiveTasks(state: EntryState, row: AgentRow): boolean {
    return row.connection !== undefined && row.worker?.acceptsTasks === true
        && state.now - row.lastFrameReceivedAt <= agentSilenceLimitMilliseconds;
}

/**
 * Takes a version of the configuration; an older one than that in force is ignored.
 *
 * @param state - the entry
 * @param configuration - the version, if there is one
 * @param source - where it came from
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
 * Sends each agent its orders, or a sign of life.
 *
 * @param state - the entry
 */
export function sendFrames(state: EntryState): void {
    const version = state.configuration?.version ?? 0;
    for (const row of [...state.agents.values()]) {
        const orders = state.orders.get(row.agent);
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
        state.orders.delete(row.agent);
        state.agents.set(row.agent, {
            ...row,
            lastSentSequence: frame.sequence,
            lastFrameSentAt: state.now,
            configurationVersion: Math.max(version, row.configurationVersion),
        });
        state.outputs.push({ kind: "frame", connection: row.connection, frame });
    }
}
