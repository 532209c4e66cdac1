/**
 * Counters of an agent's decisions, which work without the metrics library so that it is loaded only on demand.
 */
import type { AgentInput } from "../core/agentInput.js";
import type { AgentOutput } from "../core/agentOutput.js";

/** Totals since the start of the agent process. */
export class AgentCounters {
    public starts = 0;
    public declinedSlots = 0;
    public offeredSlots = 0;
    public ticks = 0;
    public tickSeconds = 0;
    public longestTickSeconds = 0;
    /** Number of ended tasks by outcome. */
    public readonly outcomes = new Map<string, number>();
    /** Number of refused tasks by reason. */
    public readonly refusals = new Map<string, number>();

    /**
     * Counts the offered slots that entries decline in an input.
     *
     * @param input - input that is passed to the core
     */
    public countInput(input: AgentInput): void {
        if (input.type !== "peerBatch") {
            return;
        }
        for (const message of input.batch.messages) {
            this.declinedSlots += message.type === "declineOffer" ? message.slots : 0;
        }
    }

    /**
     * Counts dispatches, offers, refusals and outcomes in an output.
     *
     * @param output - output of the core
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
     * Counts a tick of the core.
     *
     * @param milliseconds - duration of the tick
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
