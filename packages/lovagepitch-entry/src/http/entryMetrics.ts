/**
 * Prometheus metrics of an entry.
 */
import type { LinkCounters } from "@lovagepitch/links/linkCounters";
import type { ProblemKind } from "@lovagepitch/types/problem";
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";
import type { EntryStatus } from "../core/entryCore.js";

const millisecondsPerSecond = 1_000;
const tickBucketsSeconds = [0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25];

/** Functions that read the current values of the metrics. */
export interface EntryMetricsSources {
    readonly getStatus: () => EntryStatus;
    readonly getLinkCounters: () => LinkCounters;
    readonly isStoreHealthy: () => boolean;
    readonly countWaitingRequests: () => number;
}

/** Metrics registry of one entry. */
export class EntryMetrics {
    private readonly registry = new Registry();
    private readonly ticks: Histogram;
    private readonly requestRefusals: Counter<"kind">;

    /**
     * @param sources - functions that are called at each scrape
     */
    public constructor(sources: EntryMetricsSources) {
        collectDefaultMetrics({ register: this.registry });
        this.ticks = new Histogram({
            name: "lovagepitch_entry_tick_seconds",
            help: "Time that a tick of the core took.",
            buckets: tickBucketsSeconds,
            registers: [this.registry],
        });
        this.requestRefusals = new Counter({
            name: "lovagepitch_entry_request_refusals_total",
            help: "Requests refused before the core saw them, by kind of problem.",
            labelNames: ["kind"],
            registers: [this.registry],
        });
        this.addStatusMetrics(sources);
        this.addLinkMetrics(sources);
        this.addRefusals(sources);
    }

    /** Media type of the Prometheus exposition format. */
    public get contentType(): string {
        return this.registry.contentType;
    }

    /**
     * Records the duration of a tick.
     *
     * @param durationMilliseconds - duration of the tick
     */
    public observeTick(durationMilliseconds: number): void {
        this.ticks.observe(durationMilliseconds / millisecondsPerSecond);
    }

    /**
     * Counts a request that was refused before it reached the core.
     *
     * @param kind - kind of the problem that the caller received
     */
    public countRequestRefusal(kind: ProblemKind): void {
        this.requestRefusals.inc({ kind });
    }

    /**
     * Collects all metrics.
     *
     * @returns metrics in the Prometheus exposition format
     */
    public expose(): Promise<string> {
        return this.registry.metrics();
    }

    private addStatusMetrics(sources: EntryMetricsSources): void {
        const { getStatus } = sources;
        this.addGauge("waiting_tasks", "Tasks that wait for a slot.", () => getStatus().waitingTasks);
        this.addGauge(
            "running_tasks",
            "Tasks that were sent to agents and have not ended.",
            () => getStatus().runningTasks,
        );
        this.addGauge("known_slots", "Slots of the agents that this entry knows.", () => getStatus().knownSlots);
        this.addGauge("agents", "Agents that this entry knows.", () => getStatus().agents);
        this.addGauge("waiting_requests", "Callers' requests without a response.", sources.countWaitingRequests);
        this.addGauge(
            "configuration_version",
            "Version of the manifest in force; 0 before there is one.",
            () => getStatus().configurationVersion,
        );
        this.addGauge(
            "store_healthy",
            "1 when the last request to the platform was answered.",
            () => sources.isStoreHealthy() ? 1 : 0,
        );
        this.addTotal("starts_total", "Tasks sent to agents to start.", () => getStatus().starts);
        this.addTotal(
            "wasted_messages_total",
            "Refused starts and declined offers.",
            () => getStatus().wastedMessages,
        );
    }

    private addLinkMetrics({ getLinkCounters }: EntryMetricsSources): void {
        this.addTotal("messages_sent_total", "Messages sent to peers.", () => getLinkCounters().messagesSent);
        this.addTotal("messages_received_total", "Messages from peers.", () => getLinkCounters().messagesReceived);
        this.addTotal(
            "messages_dropped_total",
            "Messages dropped at a limit.",
            () => getLinkCounters().messagesDropped,
        );
        this.addTotal("link_bytes_sent_total", "Bytes sent to peers.", () => getLinkCounters().bytesSent);
        this.addTotal("link_bytes_received_total", "Bytes from peers.", () => getLinkCounters().bytesReceived);
        this.addTotal(
            "link_reconnects_total",
            "Connections that replaced a failed one.",
            () => getLinkCounters().reconnects,
        );
        this.addTotal(
            "link_silent_connections_total",
            "Connections closed because no reply came in time.",
            () => getLinkCounters().connectionsSilent,
        );
        this.addTotal(
            "link_refused_batches_total",
            "Batches from peers that were malformed or beyond a limit.",
            () => getLinkCounters().batchesRefused,
        );
    }

    private addRefusals({ getStatus }: EntryMetricsSources): void {
        new Counter({
            name: "lovagepitch_entry_refusals_total",
            help: "Submissions refused by the core, by kind of problem.",
            labelNames: ["kind"],
            registers: [this.registry],
            collect(): void {
                this.reset();
                for (const [kind, count] of getStatus().refusals) {
                    this.inc({ kind }, count);
                }
            },
        });
    }

    private addGauge(name: string, help: string, read: () => number): void {
        new Gauge({
            name: `lovagepitch_entry_${name}`,
            help,
            registers: [this.registry],
            collect(): void {
                this.set(read());
            },
        });
    }

    private addTotal(name: string, help: string, read: () => number): void {
        new Counter({
            name: `lovagepitch_entry_${name}`,
            help,
            registers: [this.registry],
            collect(): void {
                this.reset();
                this.inc(read());
            },
        });
    }
}
