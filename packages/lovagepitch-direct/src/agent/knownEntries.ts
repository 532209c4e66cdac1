/**
 * Entries that the agent knows, and the choice of those that it connects to.
 */
import type { EntryLocation } from "../model/entryLocation.js";
import { noEvacuations } from "../model/zoneEvacuations.js";
import { choosePartners, type PartnerLimits, rankPartner } from "../policies/partnerChoice.js";
import type { AgentState, EntryRow } from "./agentState.js";
import { hasUnconfirmedEnds } from "./runEnds.js";

/** Numbers of entries that an agent connects to. */
const partnerLimits: PartnerLimits = { ownZone: 2, total: 4 };

/** Largest number of entries that an agent connects to beside its partners. */
const maximumTemporaryEntries = 8;

/** Interval at which partners are chosen again when nothing is known to have changed, in milliseconds. */
const partnerChoiceIntervalMilliseconds = 250;

/** Time after which another entry takes the place of an unreachable one, in milliseconds. */
const substitutionDelayMilliseconds = 400;

/** Time after which an unreachable entry is forgotten unless it is named again, in milliseconds. */
const forgetDelayMilliseconds = 60_000;

/** Time without a start after which the connection to a temporary entry is no longer needed, in milliseconds. */
const temporaryIdleMilliseconds = 2000;

/** Time between the report that a temporary entry gets no capacity and the end of its connection, in milliseconds. */
const retirementMilliseconds = 500;

/**
 * Adds entries to the known ones; the availability zone of a known entry is completed.
 *
 * @param state - state of the agent
 * @param entries - entries that were found
 */
export function receiveEntryLocations(state: AgentState, entries: readonly EntryLocation[]): void {
    for (const { address, availabilityZone } of entries) {
        const known = state.knownEntries.get(address);
        if (known === undefined || (availabilityZone !== undefined && known.availabilityZone !== availabilityZone)) {
            const rank = known?.rank ?? rankPartner(state.identity.instance, address);
            state.knownEntries.set(address, { unreachableSince: undefined, ...known, address, availabilityZone, rank });
            state.nextPartnerChoiceAt = state.now;
        }
    }
}

/**
 * Records that an entry answers.
 *
 * @param state - state of the agent
 * @param address - host and port of the entry
 */
export function recordReachable(state: AgentState, address: string): void {
    const known = state.knownEntries.get(address);
    if (known?.unreachableSince !== undefined) {
        state.knownEntries.set(address, { ...known, unreachableSince: undefined });
        state.nextPartnerChoiceAt = state.now;
    }
}

/**
 * Records that a connection to an entry has failed or is silent.
 *
 * @param state - state of the agent
 * @param address - host and port of the entry
 */
export function recordUnreachable(state: AgentState, address: string): void {
    const known = state.knownEntries.get(address);
    if (known !== undefined && known.unreachableSince === undefined) {
        state.knownEntries.set(address, { ...known, unreachableSince: state.now });
    }
}

/**
 * Connects to an entry that needs capacity, unless the agent is connected to it or has too many temporary entries.
 *
 * @param state - state of the agent
 * @param entry - entry to connect to
 */
export function inviteEntry(state: AgentState, entry: EntryLocation): void {
    receiveEntryLocations(state, [entry]);
    const known = state.entries.get(entry.address);
    if (known !== undefined) {
        state.entries.set(entry.address, { ...known, lastUsedAt: state.now, retiringSince: undefined });
        return;
    }
    const temporaryEntries = [...state.entries.values()].filter(row => row.role === "temporary");
    if (temporaryEntries.length < maximumTemporaryEntries) {
        state.entries.set(entry.address, createEntryRow(state, entry.address, "temporary"));
        state.log("info", "invited to an entry that needs capacity", { address: entry.address });
    }
}

/**
 * Chooses the partners when something has changed, connects to new ones, and makes the others temporary.
 *
 * @param state - state of the agent
 */
export function updatePartners(state: AgentState): void {
    if (state.now < state.nextPartnerChoiceAt) {
        return;
    }
    state.nextPartnerChoiceAt = state.now + partnerChoiceIntervalMilliseconds;
    forgetUnreachableEntries(state);
    const known = [...state.knownEntries.values()];
    const reachable = known.filter(({ unreachableSince }) =>
        unreachableSince === undefined || state.now - unreachableSince < substitutionDelayMilliseconds
    );
    const partners = new Set([
        ...choosePartners(state.identity.availabilityZone, known, partnerLimits),
        ...choosePartners(state.identity.availabilityZone, reachable, partnerLimits),
    ]);
    let changes = 0;
    for (const address of partners) {
        const row = state.entries.get(address);
        changes += row?.role === "partner" ? 0 : 1;
        state.entries.set(
            address,
            row === undefined
                ? createEntryRow(state, address, "partner")
                : { ...row, role: "partner", retiringSince: undefined },
        );
    }
    for (const row of [...state.entries.values()]) {
        if (!partners.has(row.address) && row.role === "partner") {
            state.entries.set(row.address, { ...row, role: "temporary", lastUsedAt: state.now });
            changes += 1;
        }
    }
    if (changes > 0) {
        const unreachable = known.length - reachable.length;
        state.log("info", "partners chosen", { partners: [...partners], known: known.length, unreachable });
    }
}

/**
 * Closes the connections to temporary entries that have not used the worker for a while.
 *
 * @param state - state of the agent
 */
export function closeUnusedConnections(state: AgentState): void {
    let using: ReadonlySet<string> | undefined;
    for (const row of state.entries.values()) {
        if (row.role !== "temporary") {
            continue;
        }
        using ??= state.listUsingEntries();
        // A forgotten entry would not be sent the ends that it has not confirmed, and order these tasks again.
        const isNeeded = row.incarnation !== undefined
            && (using.has(row.incarnation) || hasUnconfirmedEnds(state, row.incarnation));
        if (isNeeded) {
            continue;
        }
        if (row.connection === "closed" && row.retryAt > state.now) {
            state.entries.delete(row.address);
        }
        else if (row.retiringSince !== undefined && state.now - row.retiringSince >= retirementMilliseconds) {
            state.entries.delete(row.address);
            state.outputs.push({ kind: "disconnect", address: row.address });
            state.log("info", "connection to entry no longer used", { address: row.address, entry: row.incarnation });
        }
        else if (row.retiringSince === undefined && state.now - row.lastUsedAt >= temporaryIdleMilliseconds) {
            state.entries.set(row.address, { ...row, retiringSince: state.now, hasPendingUpdate: true });
        }
    }
}

function forgetUnreachableEntries(state: AgentState): void {
    for (const { address, unreachableSince } of [...state.knownEntries.values()]) {
        if (unreachableSince !== undefined && state.now - unreachableSince > forgetDelayMilliseconds) {
            state.knownEntries.delete(address);
        }
    }
}

function createEntryRow(state: AgentState, address: string, role: EntryRow["role"]): EntryRow {
    return {
        address,
        role,
        retiringSince: undefined,
        lastUsedAt: state.now,
        connection: "closed",
        incarnation: undefined,
        leaseRenewedAt: Number.NEGATIVE_INFINITY,
        lastActivityAt: state.now,
        includedSequence: 0,
        hasSentFirstFrame: false,
        sentCrashRevision: 0,
        configurationVersion: 0,
        evacuations: noEvacuations,
        wantsConfiguration: false,
        awaitsCapacity: false,
        retryAt: state.now,
        pendingEnds: [],
        hasPendingUpdate: false,
    };
}
