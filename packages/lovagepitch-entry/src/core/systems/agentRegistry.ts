/**
 * Keeps the table of agents: announcements, loads, incarnations and health.
 */
import type { PeerAddress, PeerIdentity } from "@lovagepitch/types/identity";
import type { AgentLoad, AnnounceAgent } from "@lovagepitch/types/peerMessage";
import type { Registry } from "@lovagepitch/types/registry";
import type { EntryState } from "../entryState.js";
import type { AgentRow } from "../tables/agentRow.js";
import { removeAgent } from "./removedAgents.js";

/** Time before the first probe of an agent that was taken out. */
const firstProbeIntervalMilliseconds = 1_000;
/** Longest time between probes; each probe may cost a job. */
const maximumProbeIntervalMilliseconds = 30_000;

/**
 * Takes in an announcement.
 *
 * @param state - the entry's state
 * @param sender - the agent
 * @param announcement - what it says
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
 * Notes a sign of life; another incarnation at the address means that the earlier one is gone.
 *
 * @param state - the entry's state
 * @param sender - the agent
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
        // The new incarnation announces itself to whoever it hears from.
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
 * Takes in how full an agent is.
 *
 * @param state - the entry's state
 * @param sender - the agent
 * @param load - its load
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
 * Takes in a reading of the registry and greets agents that are not known yet.
 *
 * @param state - the entry's state
 * @param registry - the reading
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

/** An agent that died without leaving is pinged until its row has expired. */
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

/** Takes a failing agent out, but never more than the settings' share of those that offer the same services. */
function updateEjection(state: EntryState, agent: AgentRow): void {
    if (!agent.load.suspect) {
        if (agent.isEjected) {
            state.agents.update(agent.address, { isEjected: false });
            state.logDecision("restored", "a task succeeded there", createLocationFields(agent));
        }
        return;
    }
    if (!agent.isEjected && !canEject(state, agent)) {
        return;
    }
    state.agents.update(agent.address, { isEjected: true, probeIntervalMilliseconds: firstProbeIntervalMilliseconds });
    scheduleProbe(state, agent.address);
    state.logDecision("ejected", "its backend server fails what it starts", createLocationFields(agent));
}

/**
 * Sets the time of the next probe of an ejected agent.
 *
 * @param state - the entry's state
 * @param address - address of the agent
 */
export function scheduleProbe(state: EntryState, address: PeerAddress): void {
    const interval = state.agents.get(address)?.probeIntervalMilliseconds ?? firstProbeIntervalMilliseconds;
    state.agents.update(address, {
        probeAtMilliseconds: state.now + interval,
        probeIntervalMilliseconds: Math.min(maximumProbeIntervalMilliseconds, 2 * interval),
    });
    state.scheduleTimer(state.now + interval, "place", "");
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
