/**
 * Capacity beyond the agents that are connected: requests to other entries, and invitations of agents for them.
 */
import type { CapacityRequest } from "../model/capacityRequest.js";
import type { DirectJob } from "../model/directJob.js";
import type { EntryLocation } from "../model/entryLocation.js";
import { fitsInto } from "../model/resources.js";
import { canReceiveTasks } from "./agentFrames.js";
import { type AgentRow, computeAvailableResources, type EntryState } from "./entryState.js";

/** Number of entries that one search asks. */
const askedEntries = 2;

/** Time within which an agent is not invited again for the same entry, in milliseconds. */
const invitationIntervalMilliseconds = 1000;

/**
 * Adds entries to the known ones.
 *
 * @param state - state of the entry
 * @param entries - entries that were found
 */
export function receiveEntryLocations(state: EntryState, entries: readonly EntryLocation[]): void {
    for (const entry of entries) {
        const known = state.knownEntries.get(entry.address);
        const isNew = known === undefined
            || (entry.availabilityZone !== undefined && known.availabilityZone !== entry.availabilityZone);
        if (isNew) {
            state.knownEntries.set(entry.address, entry);
            state.knownEntriesRevision += 1;
        }
    }
}

/**
 * Asks other entries for agents when tasks wait for capacity. An entry that is short of processor time does not ask: tasks wait there
 * although workers have room, and each further agent takes more of its time.
 *
 * @param state - state of the entry
 */
export function requestCapacity(state: EntryState): void {
    if (state.policies.jobForwarding.isShort) {
        return;
    }
    const agents = state.capacitySearch.countAgentsToRequest(state.unplacedTasks, state.now);
    const job = agents === 0 ? undefined : findWaitingJob(state);
    if (job === undefined) {
        return;
    }
    const { address, availabilityZone } = state.identity;
    const request: CapacityRequest = {
        from: { address, availabilityZone },
        service: job.service,
        needs: job.needs,
        requiredLabel: job.requiredLabel,
        agents,
    };
    const others = [...state.knownEntries.values()].filter(entry => entry.address !== address);
    const offset = others.length === 0 ? 0 : state.random.nextInteger(others.length);
    for (let index = 0; index < Math.min(askedEntries, others.length); index += 1) {
        const other = others[(offset + index) % others.length];
        if (other !== undefined) {
            state.outputs.push({ kind: "request-capacity", address: other.address, request });
        }
    }
    state.log("info", "capacity requested", {
        waitingTasks: state.unplacedTasks,
        agents,
        connected: state.agents.size,
    });
}

function findWaitingJob(state: EntryState): DirectJob | undefined {
    for (const { job, waitingTasks } of state.jobs.values()) {
        if (waitingTasks.length > 0) {
            return job;
        }
    }
    return undefined;
}

/**
 * Invites agents with free capacity for another entry, those with the most first.
 *
 * @param state - state of the entry
 * @param request - request of the other entry
 */
export function receiveCapacityRequest(state: EntryState, request: CapacityRequest): void {
    receiveEntryLocations(state, [request.from]);
    if (state.unplacedTasks > 0) {
        return;
    }
    const candidates = [...state.agents.values()]
        .map(row => ({ row, available: computeAvailableResources(row) }))
        .filter(({ row, available }) =>
            available !== undefined && fitsInto(request.needs, available) && isEligible(state, row, request)
        )
        .sort((left, right) => (right.available?.milliCores ?? 0) - (left.available?.milliCores ?? 0));
    const invited = candidates.slice(0, request.agents);
    for (const { row } of invited) {
        state.invitedAt.set(formatInvitationKey(row, request), state.now);
        state.getPendingOrders(row.agent).invitations.push(request.from);
    }
    state.log("info", "agents invited for another entry", {
        address: request.from.address,
        requested: request.agents,
        invited: invited.length,
    });
}

function isEligible(state: EntryState, row: AgentRow, request: CapacityRequest): boolean {
    const invitedAt = state.invitedAt.get(formatInvitationKey(row, request));
    return canReceiveTasks(state, row) && row.worker?.service === request.service
        && (request.requiredLabel === undefined || row.worker.labels.includes(request.requiredLabel))
        && (invitedAt === undefined || state.now - invitedAt >= invitationIntervalMilliseconds);
}

function formatInvitationKey(row: AgentRow, request: CapacityRequest): string {
    return `${row.agent} ${request.from.address}`;
}

/**
 * Removes invitations that are old enough to be repeated.
 *
 * @param state - state of the entry
 */
export function forgetInvitations(state: EntryState): void {
    for (const [key, invitedAt] of state.invitedAt) {
        if (state.now - invitedAt >= invitationIntervalMilliseconds) {
            state.invitedAt.delete(key);
        }
    }
}
