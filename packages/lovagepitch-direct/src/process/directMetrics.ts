/**
 * Metrics of one process, and the HTTP server that exposes them.
 */
import type { ServerResponse } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { internalRequestLimits } from "../connections/boundedHttpServer.js";
import { splitAddress } from "../links/listenAt.js";
import type { QueueUse } from "../policies/queueShares.js";
import type { ProcessListeners } from "./processListeners.js";

/** Largest number of open requests at which a connection is read on; each holds the text of all metrics. */
const maximumOpenRequests = 1;

/** Upper bounds of the histogram buckets, in seconds: from the shortest tasks to the longest waits of callers. */
const durationBucketSeconds = [0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3, 5, 8];

/** Upper bounds of the histogram buckets of stop delays, in seconds: around the interval of ticks and the callers' margin. */
const stopDelayBucketSeconds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1];

/**
 * Values of the label `event` that differ from the message of their log line, by message. Label values stay the same
 * when a message is reworded, because operators' queries and alerts select them.
 */
const eventLabels: ReadonlyMap<string, string> = new Map([
    ["worker paused", "worker gets no new tasks for a while"],
    ["run stopped because of insufficient progress", "run makes too little progress"],
    ["run stopped because the lease of its entry expired", "run of a silent entry is stopped"],
    ["leases expired at an unresponsive worker", "leases have run out at a silent worker"],
    ["unresponsive agent removed", "agent is lost"],
    ["store reachable", "store answers"],
    ["store unreachable", "store lost"],
    ["reload requested; no setting can be reloaded", "reload asked for; nothing to reload"],
]);

/** Help text of the gauge of evacuated zones, which entries and agents have. */
export const evacuatedZonesHelp = "Availability zones in which the process lets no task start";

/** Metrics of an entry or an agent. Labels only take values from fixed sets. */
export class DirectMetrics {
    private readonly registry = new Registry();
    private rendering: Promise<string> | undefined;
    private readonly events = new Counter({
        name: "lovagepitch_events_total",
        help: "Decisions and events by the name that their log line has, also those that the log left out",
        labelNames: ["event"],
        registers: [this.registry],
    });
    private readonly answers = new Histogram({
        name: "lovagepitch_job_duration_seconds",
        help: "Time from the arrival of a job to its answer",
        labelNames: ["answer", "reason"],
        buckets: durationBucketSeconds,
        registers: [this.registry],
    });
    private readonly stopDelays = new Histogram({
        name: "lovagepitch_stop_delay_seconds",
        help: "Time from the end of the previous tick until the stops for callers that have gone were sent",
        buckets: stopDelayBucketSeconds,
        registers: [this.registry],
    });
    /** Counters by event; looking one up by its labels takes several times as long as counting. */
    private readonly eventCounters = new Map<string, Counter.Internal>();
    private readonly omittedLines = new Counter({
        name: "lovagepitch_log_lines_omitted_total",
        help: "Log lines beyond the bound on their number",
        registers: [this.registry],
    });

    /**
     * Counts an event.
     *
     * @param event - message of its log line
     */
    public countEvent(event: string): void {
        let counter = this.eventCounters.get(event);
        if (counter === undefined) {
            counter = this.events.labels(eventLabels.get(event) ?? event);
            this.eventCounters.set(event, counter);
        }
        counter.inc();
    }

    /** Counts an omitted log line. */
    public countOmittedLine(): void {
        this.omittedLines.inc();
    }

    /**
     * Records the answer to a job.
     *
     * @param answer - kind of the answer
     * @param reason - reason of a refusal or interruption, otherwise empty
     * @param milliseconds - time from the arrival of the job to the answer
     */
    public observeAnswer(answer: string, reason: string, milliseconds: number): void {
        this.answers.observe({ answer, reason }, milliseconds / 1000);
    }

    /**
     * Records the delay of stops for callers that have gone.
     *
     * @param milliseconds - time from the previous tick until the stops were sent
     */
    public observeStopDelay(milliseconds: number): void {
        this.stopDelays.observe(milliseconds / 1000);
    }

    /**
     * Adds a gauge that is read when the metrics are scraped.
     *
     * @param name - metric name without the prefix
     * @param help - help text of the metric
     * @param read - returns the current value
     */
    public addGauge(name: string, help: string, read: () => number): void {
        new Gauge({
            name: `lovagepitch_${name}`,
            help,
            registers: [this.registry],
            collect() {
                this.set(read());
            },
        });
    }

    /**
     * Adds a counter whose totals are read when the metrics are scraped, so that counting takes no call of the library.
     *
     * @param name - metric name without the prefix
     * @param help - help text of the metric
     * @param label - label that tells the totals apart
     * @param totals - functions that return a total since the start of the process, by value of the label
     */
    public addTotals(name: string, help: string, label: string, totals: Readonly<Record<string, () => number>>): void {
        new Counter({
            name: `lovagepitch_${name}`,
            help,
            labelNames: [label],
            registers: [this.registry],
            collect() {
                this.reset();
                for (const [value, read] of Object.entries(totals)) {
                    this.inc({ [label]: value }, read());
                }
            },
        });
    }

    /**
     * Adds gauges of the room that each queue takes and is assured of, read when the metrics are scraped.
     *
     * @param list - returns the current use; queues are those of the configuration
     */
    public addQueueGauges(list: () => readonly QueueUse[]): void {
        this.addQueueGauge("queue_demand_cores", "Work that arrives, in cores", list, use => use.demand);
        this.addQueueGauge("queue_used_cores", "Work that is placed, in cores", list, use => use.used);
        this.addQueueGauge("queue_assured_cores", "Work that a queue is assured of", list, use => use.assured);
    }

    private addQueueGauge(
        name: string,
        help: string,
        list: () => readonly QueueUse[],
        read: (use: QueueUse) => number,
    ): void {
        new Gauge({
            name: `lovagepitch_${name}`,
            help,
            labelNames: ["queue"],
            registers: [this.registry],
            collect() {
                this.reset();
                list().forEach(use => this.set({ queue: use.queue }, read(use)));
            },
        });
    }

    /**
     * Serves the metrics in the text format at every path.
     *
     * @param address - host and port to listen on
     * @param listeners - creates the HTTP server
     * @returns the bound port; rejects when the address cannot be bound
     */
    public serve(address: string, listeners: ProcessListeners): Promise<number> {
        const server = listeners.create("operations", {
            listener: "metrics",
            maximumOpenRequests,
            getRequestLimits: () => internalRequestLimits,
            onRequest: (_request, response) => void this.respond(response),
        });
        return server.listen(splitAddress(address));
    }

    private async respond(response: ServerResponse): Promise<void> {
        try {
            const text = await this.render();
            response.writeHead(200, { "content-type": this.registry.contentType }).end(text);
        }
        catch (error) {
            response.writeHead(500).end(String(error));
        }
    }

    /** Requests that arrive while the text is being created share it. */
    private render(): Promise<string> {
        this.rendering ??= this.registry.metrics().finally(() => {
            this.rendering = undefined;
        });
        return this.rendering;
    }
}
