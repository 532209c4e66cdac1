/**
 * Which agent a task goes to.
 */
import { type AgentRow, estimateFreeSlots } from "../tables/agentRow.js";

/** Choice among agents that may take a task. */
export abstract class PlacementPolicy {
    /**
     * Chooses an agent that is believed to have a free slot.
     *
     * @param agents - permitted, healthy agents
     * @returns the choice, or undefined when none has a free slot
     */
    public abstract choose(agents: Iterable<AgentRow>): AgentRow | undefined;
}

/** The agent with most free slots; the entry's own availability zone wins a tie. */
export class MostFreeSlots extends PlacementPolicy {
    /**
     * @param availabilityZone - availability zone of the entry
     */
    public constructor(private readonly availabilityZone: string) {
        super();
    }

    /** {@inheritDoc PlacementPolicy.choose} */
    public override choose(agents: Iterable<AgentRow>): AgentRow | undefined {
        let best: AgentRow | undefined;
        let bestFree = 0;
        for (const agent of agents) {
            const free = estimateFreeSlots(agent);
            if (free <= 0 || free < bestFree) {
                continue;
            }
            const isInOwnZone = agent.availabilityZone === this.availabilityZone;
            if (free > bestFree || isInOwnZone) {
                best = agent;
                bestFree = free;
            }
        }
        return best;
    }
}

/** Most free slots in the entry's own availability zone; elsewhere only when its own zone has none. */
export class OwnZoneFirst extends PlacementPolicy {
    private readonly mostFree: MostFreeSlots;

    /**
     * @param availabilityZone - availability zone of the entry
     */
    public constructor(private readonly availabilityZone: string) {
        super();
        this.mostFree = new MostFreeSlots(availabilityZone);
    }

    /** {@inheritDoc PlacementPolicy.choose} */
    public override choose(agents: Iterable<AgentRow>): AgentRow | undefined {
        const allAgents = [...agents];
        const ownZoneAgents = allAgents.filter(agent => agent.availabilityZone === this.availabilityZone);
        return this.mostFree.choose(ownZoneAgents) ?? this.mostFree.choose(allAgents);
    }
}
