/**
 * The agent's connections to entries, and the lease that each entry holds on its runs.
 */
import type { DispatchConfiguration } from "../model/dispatchConfiguration.js";
import { type AgentFrame, type EntryFrame, formatRunKey } from "../model/frames.js";
import { addResources, noResources } from "../model/resources.js";
import { entryLeaseMilliseconds, heartbeatIntervalMilliseconds } from "../model/timing.js";
import type { WorkerStatus } from "../model/workerStatus.js";
import type { AgentState, EntryRow } from "./agentState.js";
import { withdrawQueuedOrder } from "./orderQueue.js";
import { acceptsTasks, receiveStart, stopRun } from "./runOrders.js";

/** Delay before reconnecting to an entry, in milliseconds; entries restart within a second or two. */
const reconnectDelayMilliseconds = 200;

/** Changes of free capacity within this time share a frame, in milliseconds; ends of runs are sent immediately. */
export const updateIntervalMilliseconds = 6;

/**
 * A connection without a frame for this long is replaced, in milliseconds. Short enough that a new connection opens
 * before the entry's lease expires.
 */
const connectionSilenceLimitMilliseconds = 300;

/**
 * Adds addresses of entries to connect to; known addresses are left unchanged.
 *
 * @param state - state of the agent
 * @param addresses - host and port at which entries listen
 */
export function receiveAddresses(state: AgentState, addresses: readonly string[]): void {
    for (const address of addresses) {
        if (!state.entries.has(address)) {
            state.entries.set(address, {
                address,
                connection: "closed",
                incarnation: undefined,
                leaseRenewedAt: Number.NEGATIVE_INFINITY,
                lastActivityAt: state.now,
                includedSequence: 0,
                hasSentFirstFrame: false,
                configurationVersion: 0,
                retryAt: state.now,
                pendingEnds: [],
                hasPendingUpdate: false,
            });
        }
    }
}

/**
 * Opens connections that are due, and replaces connections without traffic.
 *
 * @param state - state of the agent
 */
export function connectEntries(state: AgentState): void {
    for (const row of [...state.entries.values()]) {
        const isSilent = row.connection !== "closed"
            && state.now - row.lastActivityAt > connectionSilenceLimitMilliseconds;
        if (isSilent || (row.connection === "closed" && state.now >= row.retryAt)) {
            state.entries.set(row.address, {
                ...row,
                connection: "opening",
                lastActivityAt: state.now,
                includedSequence: 0,
                hasSentFirstFrame: false,
                pendingEnds: [],
            });
            // The transport closes an earlier connection to the address before it opens a new one.
            state.outputs.push({ kind: "connect", address: row.address });
        }
    }
}

/**
 * Handles an opened connection; the first frame is sent in the same tick.
 *
 * @param state - state of the agent
 * @param address - host and port of the entry
 */
export function receiveConnected(state: AgentState, address: string): void {
    const row = state.entries.get(address);
    if (row?.connection === "opening") {
        state.entries.set(address, { ...row, connection: "open", lastActivityAt: state.now, hasPendingUpdate: true });
    }
}

/**
 * Handles a closed connection. The entry's runs continue until its lease expires, unless its process has ended.
 *
 * @param state - state of the agent
 * @param address - host and port of the entry
 * @param wasRefused - true when no process listens at the address, so the entry's process has ended
 */
export function receiveDisconnected(state: AgentState, address: string, wasRefused: boolean): void {
    const row = state.entries.get(address);
    if (row === undefined) {
        return;
    }
    if (row.connection === "open") {
        state.log("info", "connection to entry lost", { address, entry: row.incarnation });
    }
    const wasOpen = row.connection === "open";
    state.entries.set(address, {
        ...row,
        connection: "closed",
        retryAt: wasOpen ? state.now : state.now + reconnectDelayMilliseconds,
        leaseRenewedAt: wasRefused ? Number.NEGATIVE_INFINITY : row.leaseRenewedAt,
    });
}

/**
 * Processes a frame from an entry.
 *
 * @param state - state of the agent
 * @param address - host and port of the entry
 * @param frame - received frame
 */
export function receiveEntryFrame(state: AgentState, address: string, frame: EntryFrame): void {
    const row = state.entries.get(address);
    if (row?.connection !== "open") {
        return;
    }
    if (row.incarnation !== frame.entry) {
        state.log("info", "connected to entry", { address, entry: frame.entry });
    }
    const leaseRenewedAt = Math.max(row.incarnation === frame.entry ? row.leaseRenewedAt : 0, frame.newestSentAt);
    state.entries.set(address, {
        ...row,
        incarnation: frame.entry,
        leaseRenewedAt,
        lastActivityAt: state.now,
        includedSequence: frame.sequence,
        configurationVersion: frame.configuration.version,
        hasPendingUpdate: row.hasPendingUpdate || frame.starts.length > 0,
    });
    receiveAddresses(state, frame.entryAddresses);
    receiveConfiguration(state, frame.configuration.configuration);
    for (const stop of frame.stops) {
        withdrawQueuedOrder(state, frame.entry, stop);
        const run = state.runs.get(formatRunKey(stop));
        if (run !== undefined && run.entry === frame.entry) {
            stopRun(state, run, "stopped");
        }
    }
    if (state.now - leaseRenewedAt > entryLeaseMilliseconds) {
        // The entry's process was suspended, and its callers may have turned to another entry meanwhile.
        state.log("warn", "starts of an outdated frame are declined", {
            entry: frame.entry,
            age: state.now - leaseRenewedAt,
        });
        return;
    }
    for (const start of frame.starts) {
        receiveStart(state, frame.entry, start);
    }
}

/**
 * Stores the newest configuration, so that entries that cannot reach the store receive it from agents.
 *
 * @param state - state of the agent
 * @param configuration - received version; undefined when the frame carried none
 */
function receiveConfiguration(state: AgentState, configuration: DispatchConfiguration | undefined): void {
    if (configuration !== undefined && configuration.version > (state.configuration?.version ?? 0)) {
        state.configuration = configuration;
        state.markUpdatePending();
    }
}

/**
 * Stops the runs and returns the queued orders of entries whose lease has expired.
 *
 * @param state - state of the agent
 */
export function stopOrphanedRuns(state: AgentState): void {
    const leaseRenewedAt = new Map<string, number>();
    for (const row of state.entries.values()) {
        if (row.incarnation !== undefined) {
            leaseRenewedAt.set(row.incarnation, row.leaseRenewedAt);
        }
    }
    const isLeaseExpired = (entry: string): boolean => {
        return state.now - (leaseRenewedAt.get(entry) ?? Number.NEGATIVE_INFINITY) > entryLeaseMilliseconds;
    };
    for (const { entry, order } of [...state.queuedOrders.values()]) {
        if (isLeaseExpired(entry)) {
            withdrawQueuedOrder(state, entry, order);
        }
    }
    for (const row of [...state.runs.values()]) {
        if (row.entry === undefined || row.state === "stopping" || row.state === "stopped") {
            continue;
        }
        if (isLeaseExpired(row.entry)) {
            state.log("warn", "run stopped because the lease of its entry expired", {
                ...row.identity,
                entry: row.entry,
            });
            stopRun(state, row, "stopped");
        }
    }
}

/**
 * Sends each entry the runs that have ended and the state that has changed since its latest frame, or a heartbeat when
 * one is due.
 *
 * @param state - state of the agent
 * @param lastSentAt - instant at which the latest frame was sent, by address
 */
export function sendFrames(state: AgentState, lastSentAt: Map<string, number>): void {
    for (const row of [...state.entries.values()]) {
        const sentAt = row.hasSentFirstFrame ? lastSentAt.get(row.address) ?? 0 : 0;
        const interval = row.hasPendingUpdate ? updateIntervalMilliseconds : heartbeatIntervalMilliseconds;
        const isDue = row.pendingEnds.length > 0 || state.now - sentAt >= interval;
        // Until the entry has sent its first frame, it receives a single frame that identifies the agent.
        const canSend = !row.hasSentFirstFrame || row.includedSequence > 0;
        if (row.connection !== "open" || !isDue || !canSend) {
            continue;
        }
        lastSentAt.set(row.address, state.now);
        state.outputs.push({ kind: "frame", address: row.address, frame: createFrame(state, row) });
        state.entries.set(row.address, { ...row, hasSentFirstFrame: true, hasPendingUpdate: false, pendingEnds: [] });
    }
}

function createFrame(state: AgentState, row: EntryRow): AgentFrame {
    const { identity, configuration } = state;
    const version = configuration?.version ?? 0;
    return {
        agent: identity.incarnation,
        instance: identity.instance,
        availabilityZone: identity.availabilityZone,
        sentAt: state.now,
        includedSequence: row.includedSequence,
        worker: describeWorker(state),
        ended: row.hasSentFirstFrame ? row.pendingEnds : listRecentEnds(state, row),
        openRuns: row.hasSentFirstFrame ? undefined : listOpenRuns(state, row),
        configuration: {
            version,
            configuration: version > row.configurationVersion && row.includedSequence > 0 ? configuration : undefined,
        },
    };
}

function describeWorker(state: AgentState): WorkerStatus | undefined {
    const { worker } = state;
    if (worker === undefined) {
        return undefined;
    }
    return {
        service: worker.report.service,
        labels: worker.report.labels,
        capacity: worker.report.capacity,
        free: state.free,
        awaited: [...state.queuedOrders.values()].reduce(
            (sum, { order }) => addResources(sum, order.needs),
            noResources,
        ),
        acceptsTasks: acceptsTasks(state),
        isOnTrial: state.health.isOnTrial,
    };
}

function listRecentEnds(state: AgentState, row: EntryRow): AgentFrame["ended"] {
    return row.incarnation === undefined ? [] : state.recentEnds.get(row.incarnation) ?? [];
}

function listOpenRuns(state: AgentState, row: EntryRow): AgentFrame["openRuns"] {
    const running = [...state.runs.values()].filter(run => run.entry !== undefined && run.entry === row.incarnation);
    const queued = [...state.queuedOrders.values()].filter(({ entry }) => entry === row.incarnation);
    return [
        ...running.map(run => run.identity),
        ...queued.map(({ order }) => ({ job: order.job, task: order.task, run: order.run })),
    ];
}
