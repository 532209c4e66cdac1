/**
 * Bids for slots while tasks wait, and declines offers that nothing waits for.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { BidRow, EntryState } from "../entryState.js";
import type { AgentRow } from "../tables/agentRow.js";
import type { WorkClass } from "../tables/workClass.js";
import { listUsableAgents } from "./placement.js";

/** Time after which a bid is placed again, if tasks still wait. */
const bidRefreshMilliseconds = 250;

/** Sum over the classes of one service that can use an agent. */
interface BidDemand {
    readonly service: string;
    readonly agent: AgentRow;
    readonly waitingTasks: number;
    readonly oldestArrivalMilliseconds: number;
}

/**
 * Places bids where the policy wants them; a bid that stands is left alone.
 *
 * @param state - the entry's state
 */
export function placeBids(state: EntryState): void {
    for (const workClass of state.workClasses.values()) {
        if (workClass.queue.size > 0) {
            bidForWorkClass(state, workClass);
        }
    }
}

/**
 * Declines what agents offered and nothing used in this tick.
 *
 * @param state - the entry's state
 */
export function declineOffers(state: EntryState): void {
    for (const address of state.offeringAgents) {
        const agent = state.agents.get(address);
        if (agent === undefined || agent.offeredSlots === 0) {
            continue;
        }
        if (!state.tryDeclineWithAcknowledgement(address, agent.offeredSlots)) {
            state.send(address, { type: "declineOffer", slots: agent.offeredSlots });
            state.counters.wastedMessages += 1;
        }
        state.agents.update(address, { offeredSlots: 0 });
    }
    state.offeringAgents.clear();
}

/**
 * Takes an agent's offer in: it lasts for this tick and uses up the bid it answers.
 *
 * @param state - the entry's state
 * @param address - address of the agent
 * @param slots - slots it offers
 */
export function recordOffer(state: EntryState, address: PeerAddress, slots: number): void {
    if (slots === 0 || state.agents.update(address, { offeredSlots: slots }) === undefined) {
        return;
    }
    state.offeringAgents.add(address);
    const bids = state.bids.get(address);
    for (const [service, bid] of bids ?? []) {
        if (bid.waitingTasks <= slots) {
            bids?.delete(service);
        }
        else {
            bids?.set(service, { ...bid, waitingTasks: bid.waitingTasks - slots });
        }
    }
}

function bidForWorkClass(state: EntryState, workClass: WorkClass): void {
    const agents = listUsableAgents(state, workClass, findNewestRegistryVersion(state, workClass)).filter(agent =>
        !agent.isEjected
    );
    if (agents.some(agent => hasCurrentBid(state, agent, workClass.service))) {
        return;
    }
    const chosen = state.policies.bids.choose(agents, workClass.queue.size);
    for (const agent of chosen) {
        placeBid(state, workClass, {
            service: workClass.service,
            agent,
            waitingTasks: workClass.queue.size,
            oldestArrivalMilliseconds: workClass.queue.findOldestArrivalMilliseconds() ?? state.now,
        });
    }
    state.scheduleTimer(state.now + bidRefreshMilliseconds, "place", workClass.key);
}

/** Agents that are too new for every waiting job must not be bid at. */
function findNewestRegistryVersion(state: EntryState, workClass: WorkClass): number {
    let newest = 0;
    for (const head of workClass.queue.listHeads()) {
        const live = state.submissions.get(head.submission);
        newest = Math.max(newest, live?.state === "live" ? live.identity.registryVersion : 0);
    }
    return newest;
}

/** A bid may have been lost on its way, so it counts only for a while. */
function hasCurrentBid(state: EntryState, agent: AgentRow, service: string): boolean {
    const bid = state.bids.get(agent.address)?.get(service);
    return bid !== undefined && state.now - bid.placedAtMilliseconds < bidRefreshMilliseconds;
}

function placeBid(state: EntryState, workClass: WorkClass, demand: BidDemand): void {
    const bids = state.bids.get(demand.agent.address) ?? new Map<string, BidRow>();
    bids.set(workClass.service, { waitingTasks: demand.waitingTasks, placedAtMilliseconds: state.now });
    state.bids.set(demand.agent.address, bids);
    state.send(demand.agent.address, {
        type: "placeBid",
        service: demand.service,
        oldestArrivalMilliseconds: demand.oldestArrivalMilliseconds,
        waitingTasks: demand.waitingTasks,
    });
    state.logDecision("bid", `${demand.waitingTasks} tasks wait for a slot`, {
        worker: demand.agent.worker,
        availabilityZone: demand.agent.availabilityZone,
    });
}
