/**
 * Counts of what an agent decided, kept without the metrics library until somebody reads them.
 */
import type { AgentInput } from "../core/agentInput.js";
import type { AgentOutput } from "../core/agentOutput.js";

/** Sums over the life of an agent. */
export class AgentCounters {
    public starts = 0;
    public declinedOffers = 0;
    public offeredSlots = 0;
    public ticks = 0;
    public tickSeconds = 0;
    public longestTickSeconds = 0;
    /** Ended tasks by outcome. */
    public readonly outcomes = new Map<string, number>();
    /** Refused starts by reason. */
    public readonly refusals = new Map<string, number>();

    /**
     * Counts an input.
     *
     * @param input - what the core was handed
     */
    public countInput(input: AgentInput): void {
        if (input.type !== "peerBatch") {
            return;
        }
        for (const message of input.batch.messages) {
            this.declinedOffers += message.type === "declineOffer" ? message.slots : 0;
        }
    }

    /**
     * Counts an output.
     *
     * @param output - what the core decided
     */
    public countOutput(output: AgentOutput): void {
        if (output.type === "dispatch") {
            this.starts += 1;
        }
        if (output.type === "send" && (output.message.type === "offerSlots")) {
            this.offeredSlots += output.message.slots;
        }
        if (output.type === "send" && output.message.type === "reportTasks") {
            this.offeredSlots += output.message.offeredSlots;
        }
        if (output.type === "decision" && output.decision.decision === "declined") {
            increment(this.refusals, output.decision.reason);
        }
        if (output.type === "decision" && output.decision.decision === "finished") {
            increment(this.outcomes, output.decision.reason);
        }
    }

    /**
     * Counts a tick.
     *
     * @param milliseconds - how long it took
     */
    public countTick(milliseconds: number): void {
        const seconds = milliseconds / 1_000;
        this.ticks += 1;
        this.tickSeconds += seconds;
        this.longestTickSeconds = Math.max(this.longestTickSeconds, seconds);
    }
}

function increment(counts: Map<string, number>, name: string): void {
    counts.set(name, (counts.get(name) ?? 0) + 1);
}
