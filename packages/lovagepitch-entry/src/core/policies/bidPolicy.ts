/**
 * At which agents an entry bids for slots while tasks wait.
 */
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { AgentRow } from "../tables/agentRow.js";

/** Choice of the agents to bid at. */
export abstract class BidPolicy {
    /**
     * Chooses agents.
     *
     * @param agents - permitted, healthy agents, all without a free slot
     * @param waitingTasks - tasks that wait
     * @returns the agents that should hold a bid
     */
    public abstract choose(agents: readonly AgentRow[], waitingTasks: number): readonly AgentRow[];
}

/** A fixed number of agents at random, or fewer when fewer tasks wait. */
export class RandomBids extends BidPolicy {
    /**
     * @param maximumBids - most agents to bid at
     * @param random - source of the choice
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
