/**
 * The agent's connections to entries, and the frames that it receives from them.
 */
import { type EntryFrame, formatRunKey } from "../model/frames.js";
import { entryLeaseMilliseconds, idleSilenceLimitMilliseconds, silenceLimitMilliseconds } from "../model/timing.js";
import { noEvacuations } from "../model/zoneEvacuations.js";
import type { AgentState, EntryRow } from "./agentState.js";
import { requireEnd } from "./entryLeases.js";
import { inviteEntry, receiveEntryLocations, recordReachable, recordUnreachable } from "./knownEntries.js";
import { receiveStart, withdrawQueuedOrder } from "./orderQueue.js";
import { forgetConfirmedEnds } from "./runEnds.js";
import { declineStart } from "./runOrders.js";
import { restoreCapacity } from "./workerCapacity.js";
import { receiveEvacuations } from "./zoneEvacuation.js";

/**
 * Time after which an attempt to connect counts as failed, in milliseconds; many round trips between availability
 * zones. An instance without power answers no attempt, and a lost attempt is repeated by the operating system only
 * after a second.
 */
const connectTimeoutMilliseconds = 100;

/**
 * Delay before reconnecting to an entry, in milliseconds. Entries restart within a second or two, and one that has
 * restarted has no agents until they connect.
 */
const reconnectDelayMilliseconds = 50;

/** Delay before reconnecting to an entry that has failed for long, in milliseconds. */
const slowReconnectDelayMilliseconds = 1000;

/** Time after which an entry counts as failed for long, in milliseconds. */
const persistentFailureMilliseconds = 3000;

const noEntries: ReadonlySet<string> = new Set();

/**
 * Opens connections that are due, and replaces connections without traffic.
 *
 * @param state - state of the agent
 */
export function connectEntries(state: AgentState): void {
    let using: ReadonlySet<string> | undefined;
    for (const row of state.entries.values()) {
        const silence = state.now - row.lastActivityAt;
        const mayBeSilent = row.connection !== "closed" && silence > connectTimeoutMilliseconds;
        if (mayBeSilent) {
            using ??= state.listUsingEntries();
        }
        const isSilent = mayBeSilent && silence > getSilenceLimitMilliseconds(state, row, using ?? noEntries);
        if (isSilent) {
            recordUnreachable(state, row.address);
        }
        if (isSilent || (row.connection === "closed" && state.now >= row.retryAt)) {
            state.entries.set(row.address, {
                ...row,
                connection: "opening",
                lastActivityAt: state.now,
                includedSequence: 0,
                hasSentFirstFrame: false,
                sentCrashRevision: 0,
                evacuations: noEvacuations,
                pendingEnds: [],
            });
            // The transport closes an earlier connection to the address before it opens a new one.
            state.outputs.push({ kind: "connect", address: row.address });
        }
    }
}

/**
 * Finds the next instant at which a connection is to be opened or replaced, apart from open ones.
 *
 * @param state - state of the agent
 * @returns monotonic milliseconds, or undefined when every connection is open
 */
export function findNextConnectAt(state: AgentState): number | undefined {
    let next: number | undefined;
    for (const row of state.entries.values()) {
        if (row.connection !== "open") {
            const dueAt = row.connection === "closed"
                ? row.retryAt
                : row.lastActivityAt + getSilenceLimitMilliseconds(state, row, noEntries) + 1;
            next = next === undefined ? dueAt : Math.min(next, dueAt);
        }
    }
    return next;
}

function getSilenceLimitMilliseconds(state: AgentState, row: EntryRow, using: ReadonlySet<string>): number {
    if (row.connection === "opening") {
        return isFailingForLong(state, row.address) ? slowReconnectDelayMilliseconds : connectTimeoutMilliseconds;
    }
    // A connection whose runs have a lease is replaced before the lease expires.
    return using.has(row.incarnation ?? "") ? silenceLimitMilliseconds : idleSilenceLimitMilliseconds;
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
    // An entry that closes a connection without a frame may be of a version that cannot read this agent's frames.
    const wasUsed = row.connection === "open" && row.includedSequence > 0;
    recordUnreachable(state, address);
    state.entries.set(address, {
        ...row,
        connection: "closed",
        retryAt: wasUsed ? state.now : state.now + getReconnectDelayMilliseconds(state, address),
        leaseRenewedAt: wasRefused ? Number.NEGATIVE_INFINITY : row.leaseRenewedAt,
    });
}

function getReconnectDelayMilliseconds(state: AgentState, address: string): number {
    return isFailingForLong(state, address) ? slowReconnectDelayMilliseconds : reconnectDelayMilliseconds;
}

function isFailingForLong(state: AgentState, address: string): boolean {
    const unreachableSince = state.knownEntries.get(address)?.unreachableSince ?? state.now;
    return state.now - unreachableSince > persistentFailureMilliseconds;
}

/**
 * Processes a frame from an entry.
 *
 * @param state - state of the agent
 * @param address - host and port of the entry
 * @param frame - received frame
 * @param receivedAt - when it was read, in monotonic milliseconds
 */
export function receiveEntryFrame(
    state: AgentState,
    address: string,
    frame: EntryFrame,
    receivedAt = state.now,
): void {
    const row = state.entries.get(address);
    if (row?.connection !== "open") {
        return;
    }
    const isOtherProcess = row.incarnation !== frame.entry;
    if (isOtherProcess) {
        state.log("info", "connected to entry", { address, entry: frame.entry });
    }
    const leaseRenewedAt = Math.max(isOtherProcess ? 0 : row.leaseRenewedAt, frame.newestSentAt);
    state.entries.set(address, {
        ...row,
        incarnation: frame.entry,
        pendingEnds: isOtherProcess ? [] : row.pendingEnds,
        leaseRenewedAt,
        lastActivityAt: receivedAt,
        includedSequence: frame.sequence,
        configurationVersion: frame.configuration.version,
        evacuations: frame.evacuations ?? row.evacuations,
        wantsConfiguration: (row.wantsConfiguration || frame.configuration.isRequested === true)
            && frame.configuration.version < state.configurationVersion,
        awaitsCapacity: frame.awaitsCapacity ?? false,
        hasPendingUpdate: row.hasPendingUpdate || frame.starts.length > 0,
        lastUsedAt: frame.starts.length > 0 ? state.now : row.lastUsedAt,
        retiringSince: frame.starts.length > 0 ? undefined : row.retiringSince,
    });
    receiveNews(state, address, frame);
    for (const stop of frame.stops) {
        withdrawQueuedOrder(state, frame.entry, stop);
        const run = state.runs.findOrdered(frame.entry, stop);
        if (run !== undefined) {
            // The frame may have been under way, or the agent paused, beyond the lease that the entry had until now.
            requireEnd(state, run, row.leaseRenewedAt + entryLeaseMilliseconds);
        }
    }
    if (state.now - leaseRenewedAt > entryLeaseMilliseconds) {
        // The entry's process was suspended, and its callers may have turned to another entry meanwhile, or the frame
        // has waited for the entry's link.
        state.log("warn", "starts of an outdated frame are declined", {
            entry: frame.entry,
            age: state.now - leaseRenewedAt,
            starts: frame.starts.length,
        });
        frame.starts.filter(start => state.runs.findOrdered(frame.entry, start) === undefined)
            .forEach(start => declineStart(state, frame.entry, start));
        return;
    }
    const stopped = new Set(frame.stops.map(formatRunKey));
    for (const start of frame.starts) {
        if (stopped.has(formatRunKey(start))) {
            declineStart(state, frame.entry, start);
        }
        else {
            receiveStart(state, frame.entry, start);
        }
    }
}

/** Processes what a frame tells beside orders. */
function receiveNews(state: AgentState, address: string, frame: EntryFrame): void {
    forgetConfirmedEnds(state, frame.entry, frame.newestSentAt);
    recordReachable(state, address);
    receiveEntryLocations(
        state,
        frame.entryAddresses.map((known, index) => ({
            address: known,
            availabilityZone: frame.entryZones?.[index] || undefined,
        })),
    );
    frame.invitations?.forEach(invitation => inviteEntry(state, invitation));
    receiveConfiguration(state, frame);
    receiveEvacuations(state, frame.evacuations);
    restoreCapacity(state, frame.reportedCapacity);
    frame.crashes?.forEach(crash => state.crashRecords.add(crash, state.now));
}

/** Records the newest version that an entry has named, and stores the configuration if the entry has sent it. */
function receiveConfiguration(state: AgentState, { configuration: notice }: EntryFrame): void {
    if (notice.version > state.configurationVersion) {
        state.configurationVersion = notice.version;
        state.markUpdatePending();
    }
    if (notice.configuration !== undefined && notice.configuration.version > (state.configuration?.version ?? 0)) {
        state.configuration = notice.configuration;
    }
}
