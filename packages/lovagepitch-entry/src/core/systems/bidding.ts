/**
 * Bids for slots while tasks wait, and declines offered slots that no task uses.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { BidRow, EntryState } from "../entryState.js";
import type { AgentRow } from "../tables/agentRow.js";
import type { WorkClass } from "../tables/workClass.js";
import { listUsableAgents } from "./placement.js";

/** Time after which a bid is placed again, if tasks still wait. */
const bidRefreshMilliseconds = 250;

/** The waiting tasks of one work class for which slots of an agent are requested. */
interface BidDemand {
    readonly service: string;
    readonly agent: AgentRow;
    readonly waitingTasks: number;
    readonly oldestArrivalMilliseconds: number;
}

/**
 * Places bids for the work classes with waiting tasks, unless one of their agents already has a current bid.
 *
 * @param state - entry state, updated in place
 */
export function placeBids(state: EntryState): void {
    for (const workClass of state.workClasses.values()) {
        if (workClass.queue.size > 0) {
            bidForWorkClass(state, workClass);
        }
    }
}

/**
 * Declines the offered slots that were not used in this tick.
 *
 * @param state - entry state, updated in place
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
 * Records an agent's offer, which is valid in this tick only, and deducts it from the bids at the agent.
 *
 * @param state - entry state, updated in place
 * @param address - address of the offering agent
 * @param slots - number of offered slots
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

/** Finds the newest registry version among the waiting jobs; none of them can run on agents that registered later. */
function findNewestRegistryVersion(state: EntryState, workClass: WorkClass): number {
    let newest = 0;
    for (const nextTask of workClass.queue.listNextTasks()) {
        const live = state.submissions.get(nextTask.submission);
        newest = Math.max(newest, live?.state === "live" ? live.identity.registryVersion : 0);
    }
    return newest;
}

/** Tells whether an agent has a recent bid; an older one may have been lost in transit. */
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
