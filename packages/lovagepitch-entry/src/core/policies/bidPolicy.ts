/**
 * Selects the agents at which an entry bids for slots while tasks wait.
 */
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { AgentRow } from "../tables/agentRow.js";

/** Selects the agents to bid at. */
export abstract class BidPolicy {
    /**
     * Selects the agents that receive a bid.
     *
     * @param agents - permitted, healthy agents, all without a free slot
     * @param waitingTasks - number of waiting tasks
     * @returns agents to bid at
     */
    public abstract choose(agents: readonly AgentRow[], waitingTasks: number): readonly AgentRow[];
}

/** Selects a fixed number of agents at random, or all agents when there are no more than that. */
export class RandomBids extends BidPolicy {
    /**
     * @param maximumBids - number of agents to bid at
     * @param random - source of the random selection
     */
    public constructor(private readonly maximumBids: number, private readonly random: RandomSource) {
        super();
    }

    /** {@inheritDoc BidPolicy.choose} */
    public override choose(agents: readonly AgentRow[]): readonly AgentRow[] {
        if (agents.length <= this.maximumBids) {
            return agents;
        }
        const first = this.random.nextInteger(agents.length);
        const stride = Math.max(1, Math.floor(agents.length / this.maximumBids));
        const chosen: AgentRow[] = [];
        for (let position = 0; position < this.maximumBids; position += 1) {
            chosen.push(agents[(first + position * stride) % agents.length]!);
        }
        return chosen;
    }
}
