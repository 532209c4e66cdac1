/**
 * Metrics of the agent. The metrics library is loaded on the first read, because agents run with little memory.
 */
import type { LinkCounters } from "@lovagepitch/links/linkCounters";
import type { AgentStatus } from "../core/agentStatus.js";
import type { AgentCounters } from "./agentCounters.js";

/** Sources of the metrics. */
export interface AgentMetricsSource {
    readonly counters: AgentCounters;
    readonly getStatus: () => AgentStatus;
    readonly getLinkCounters: () => LinkCounters;
    readonly isStoreHealthy: () => boolean;
}

interface MetricSample {
    readonly name: string;
    readonly help: string;
    readonly type: "counter" | "gauge";
    /** One value, or values by label value. */
    readonly value: number | ReadonlyMap<string, number>;
    readonly label?: string;
}

/** Exports the metrics of one agent. */
export class AgentMetrics {
    /**
     * @param source - counters and functions that return current values
     */
    public constructor(private readonly source: AgentMetricsSource) {}

    /**
     * Reads all metrics.
     *
     * @returns the metrics in the Prometheus text format, and its content type
     */
    public async read(): Promise<{ readonly text: string; readonly contentType: string }> {
        const client = await import("prom-client");
        const registry = new client.Registry();
        for (const { name, help, type, value, label } of this.collectSamples()) {
            const settings = { name: `lovagepitch_agent_${name}`, help, registers: [registry] };
            const labelNames = label === undefined ? [] : [label];
            const metric = type === "counter"
                ? new client.Counter({ ...settings, labelNames })
                : new client.Gauge({ ...settings, labelNames });
            if (typeof value === "number") {
                metric.inc(value);
                continue;
            }
            for (const [labelValue, count] of value) {
                metric.inc({ [String(label)]: labelValue }, count);
            }
        }
        return { text: await registry.metrics(), contentType: registry.contentType };
    }

    private collectSamples(): readonly MetricSample[] {
        return [...this.collectStatusSamples(), ...this.collectCounterSamples(), ...this.collectLinkSamples()];
    }

    private collectStatusSamples(): readonly MetricSample[] {
        const status = this.source.getStatus();
        const gauge = (name: string, help: string, value: number): MetricSample => ({
            name,
            help,
            type: "gauge",
            value,
        });
        return [
            gauge("slots", "Slots that the backend server offers now.", status.slots),
            gauge("running_tasks", "Tasks that run now.", status.runningTasks),
            gauge("standing_by_tasks", "Tasks that stand by for a slot.", status.standingByTasks),
            gauge("bids", "Bids of entries for a slot.", status.bids),
            gauge("ledger_bytes", "Estimated size of the ledger, in bytes.", status.ledgerBytes),
            gauge("ledger_submissions", "Submissions in the ledger.", status.ledgerSubmissions),
            gauge(
                "undelivered_submissions",
                "Submissions with unacknowledged outcomes.",
                status.undeliveredSubmissions,
            ),
            gauge("configuration_version", "Configuration version in force; 0 for none.", status.configurationVersion),
            gauge("registration_number", "Number of the registration row; 0 for none.", status.registrationNumber),
            gauge("suspect", "1 when the backend server failed several submissions in a row.", Number(status.suspect)),
            gauge("store_healthy", "1 when the platform answered last time.", Number(this.source.isStoreHealthy())),
        ];
    }

    private collectCounterSamples(): readonly MetricSample[] {
        const { counters } = this.source;
        const counter = (name: string, help: string, value: MetricSample["value"], label?: string): MetricSample => ({
            name,
            help,
            type: "counter",
            value,
            ...label === undefined ? {} : { label },
        });
        return [
            counter("starts_total", "Tasks handed to the backend server.", counters.starts),
            counter("outcomes_total", "Ended tasks by outcome.", counters.outcomes, "outcome"),
            counter("refusals_total", "Refused tasks by reason.", counters.refusals, "reason"),
            counter("offered_slots_total", "Slots and places offered to entries.", counters.offeredSlots),
            counter("declined_offers_total", "Offered slots that entries declined.", counters.declinedSlots),
            counter("ticks_total", "Ticks of the core.", counters.ticks),
            counter("tick_seconds_total", "Time spent in ticks, in seconds.", counters.tickSeconds),
            {
                name: "longest_tick_seconds",
                help: "Longest tick so far, in seconds.",
                type: "gauge",
                value: counters.longestTickSeconds,
            },
        ];
    }

    private collectLinkSamples(): readonly MetricSample[] {
        return Object.entries(this.source.getLinkCounters()).map(([name, value]) => ({
            name: `links_${name.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`)}_total`,
            help: "Counter of the links to entries; see the operators' guide.",
            type: "counter",
            value: Number(value),
        }));
    }
}
