/**
 * Maintains the table of agents: announcements, loads, incarnations and ejections.
 */
import type { PeerAddress, PeerIdentity } from "@lovagepitch/types/identity";
import type { AgentLoad, AnnounceAgent } from "@lovagepitch/types/peerMessage";
import type { Registry } from "@lovagepitch/types/registry";
import type { EntryState } from "../entryState.js";
import type { AgentRow } from "../tables/agentRow.js";
import { removeAgent } from "./removedAgents.js";

/** Time before the first probe of an ejected agent. */
const firstProbeIntervalMilliseconds = 1_000;
/** Longest time between probes; each failed probe fails a job. */
const maximumProbeIntervalMilliseconds = 30_000;

/**
 * Adds or updates an agent from its announcement.
 *
 * @param state - entry state, updated in place
 * @param sender - identity of the announcing agent
 * @param announcement - location, size, services and load of the agent
 */
export function applyAnnouncement(state: EntryState, sender: PeerIdentity, announcement: AnnounceAgent): void {
    const known = state.agents.get(sender.address);
    const row: AgentRow = {
        unacknowledgedTasks: 0,
        offeredSlots: 0,
        awaitingReplySinceMilliseconds: undefined,
        startSequence: 0,
        blockedUntilMilliseconds: 0,
        isEjected: false,
        probeAtMilliseconds: 0,
        probeIntervalMilliseconds: firstProbeIntervalMilliseconds,
        ...known,
        address: sender.address,
        incarnation: sender.incarnation,
        worker: announcement.worker,
        rack: announcement.rack,
        availabilityZone: announcement.availabilityZone,
        cores: announcement.cores,
        memoryMegabytes: announcement.memoryMegabytes,
        registrationNumber: announcement.registrationNumber,
        services: announcement.services,
        load: announcement.load,
        lastMessageAtMilliseconds: state.now,
        isUnresponsive: false,
    };
    state.agents.set(sender.address, row);
    state.registryVersion = Math.max(state.registryVersion, announcement.registrationNumber);
    state.hasStaleCandidates = true;
    updateEjection(state, row);
}

/**
 * Records that an agent sent a message; if its incarnation is new, the earlier one at the address is removed.
 *
 * @param state - entry state, updated in place
 * @param sender - identity of the agent
 */
export function recordAgentMessage(state: EntryState, sender: PeerIdentity): void {
    const agent = state.agents.get(sender.address);
    if (agent === undefined) {
        return;
    }
    if (agent.incarnation !== sender.incarnation) {
        removeAgent(state, agent, "the agent was replaced");
        state.agents.delete(sender.address);
        state.hasStaleCandidates = true;
        // The new incarnation replies to a ping with its announcement.
        state.send(sender.address, { type: "ping" });
        return;
    }
    state.agents.update(sender.address, {
        lastMessageAtMilliseconds: state.now,
        awaitingReplySinceMilliseconds: undefined,
        isUnresponsive: false,
    });
}

/**
 * Updates an agent's load; ignored when the sender is not the agent's current incarnation.
 *
 * @param state - entry state, updated in place
 * @param sender - identity of the agent
 * @param load - slots, tasks and health that the agent reports
 */
export function updateAgentLoad(state: EntryState, sender: PeerIdentity, load: AgentLoad): void {
    const agent = state.agents.get(sender.address);
    if (agent?.incarnation !== sender.incarnation || agent === undefined) {
        return;
    }
    const row = { ...agent, load };
    state.agents.set(sender.address, row);
    if (agent.load.suspect !== load.suspect) {
        updateEjection(state, row);
    }
}

/**
 * Applies a registry snapshot: pings unknown agents, and removes agents that have left.
 *
 * @param state - entry state, updated in place
 * @param registry - snapshot to apply; ignored when it is older than the current one
 */
export function applyRegistry(state: EntryState, registry: Registry): void {
    if (registry.version < state.registry.version) {
        return;
    }
    state.registry = registry;
    state.registryVersion = Math.max(state.registryVersion, registry.version);
    state.servingEntryCount = registry.entries.filter(entry => entry.state === "serving").length;
    removeUnlistedAgents(state, registry);
    for (const agent of registry.agents) {
        const known = state.agents.get(agent.address);
        if (agent.state === "serving" && known === undefined) {
            state.send(agent.address, { type: "ping" });
        }
        if (agent.state === "left" && known?.incarnation === agent.incarnation) {
            removeAgent(state, known, "the agent has left");
            state.agents.delete(agent.address);
            state.hasStaleCandidates = true;
        }
    }
}

/** Removes unresponsive agents whose registry row has expired; an agent that crashed is pinged until then. */
function removeUnlistedAgents(state: EntryState, registry: Registry): void {
    const listed = new Set(registry.agents.map(agent => agent.incarnation));
    for (const agent of [...state.agents.values()]) {
        const isRemoved = agent.isUnresponsive && agent.registrationNumber <= registry.version
            && !listed.has(agent.incarnation);
        if (isRemoved) {
            state.agents.delete(agent.address);
            state.hasStaleCandidates = true;
        }
    }
}

/** Ejects a failing agent, unless that exceeds `maximumEjectedShare` of the agents that offer the same services. */
function updateEjection(state: EntryState, agent: AgentRow): void {
    if (!agent.load.suspect) {
        if (agent.isEjected) {
            state.agents.update(agent.address, { isEjected: false });
            state.logDecision("restored", "a task succeeded on its backend server", createLocationFields(agent));
        }
        return;
    }
    if (!agent.isEjected && !canEject(state, agent)) {
        return;
    }
    state.agents.update(agent.address, { isEjected: true, probeIntervalMilliseconds: firstProbeIntervalMilliseconds });
    scheduleProbe(state, agent.address);
    state.logDecision("ejected", "its backend server fails the tasks that it starts", createLocationFields(agent));
}

/**
 * Schedules the next probe of an ejected agent and doubles the interval after it.
 *
 * @param state - entry state, updated in place
 * @param address - address of the ejected agent
 */
export function scheduleProbe(state: EntryState, address: PeerAddress): void {
    const intervalMilliseconds = state.agents.get(address)?.probeIntervalMilliseconds ?? firstProbeIntervalMilliseconds;
    state.agents.update(address, {
        probeAtMilliseconds: state.now + intervalMilliseconds,
        probeIntervalMilliseconds: Math.min(maximumProbeIntervalMilliseconds, 2 * intervalMilliseconds),
    });
    state.scheduleTimer(state.now + intervalMilliseconds, "place", "");
}

function canEject(state: EntryState, agent: AgentRow): boolean {
    const peers = [...state.agents.values()].filter(other =>
        other.services.some(service => agent.services.includes(service))
    );
    const ejectedAgents = peers.filter(other => other.isEjected).length;
    return ejectedAgents + 1 <= Math.max(1, peers.length * state.dependencies.settings.policy.maximumEjectedShare);
}

function createLocationFields(agent: AgentRow): { worker: string; availabilityZone: string } {
    return { worker: agent.worker, availabilityZone: agent.availabilityZone };
}
