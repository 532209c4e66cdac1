/**
 * Selects the agent that a task is placed on.
 */
import { type AgentRow, estimateFreeSlots } from "../tables/agentRow.js";

/** Selects one of the agents that may take a task. */
export abstract class PlacementPolicy {
    /**
     * Selects an agent that is estimated to have a free slot.
     *
     * @param agents - permitted, healthy agents
     * @returns the selected agent, or undefined when none has a free slot
     */
    public abstract choose(agents: Iterable<AgentRow>): AgentRow | undefined;
}

/** Selects the agent with the most free slots; on a tie, one in the entry's own availability zone. */
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

/** Selects like {@link MostFreeSlots}, but in other availability zones only when the entry's own has no free slot. */
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
