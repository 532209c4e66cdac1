/**
 * Counters and histograms of one process, and the address that serves them.
 */
import { createServer } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { listenAt, splitAddress } from "../links/listenAt.js";

/** Bounds of the histograms' buckets, in seconds: from the shortest tasks to the longest waits of callers. */
const durationBucketSeconds = [0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3, 5, 8];

/** Metrics of an entry or an agent. Labels take values from fixed sets only. */
export class DirectMetrics {
    private readonly registry = new Registry();
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
    private readonly omittedLines = new Counter({
        name: "lovagepitch_log_lines_omitted_total",
        help: "Log lines beyond the bound on their number",
        registers: [this.registry],
    });

    /**
     * Counts an event.
     *
     * @param event - name of its log line
     */
    public countEvent(event: string): void {
        this.events.inc({ event });
    }

    /** Counts a log line that was left out. */
    public countOmittedLine(): void {
        this.omittedLines.inc();
    }

    /**
     * Notes the answer to a job.
     *
     * @param answer - its kind
     * @param reason - why, empty where there is no reason
     * @param milliseconds - since the job's arrival
     */
    public observeAnswer(answer: string, reason: string, milliseconds: number): void {
        this.answers.observe({ answer, reason }, milliseconds / 1000);
    }

    /**
     * Adds a figure that is read when the metrics are fetched.
     *
     * @param name - name without the prefix
     * @param help - what it says
     * @param read - reads it
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
     * Serves the metrics as text at every path.
     *
     * @param address - host and port
     * @returns the port; rejects when it cannot be bound
     */
    public serve(address: string): Promise<number> {
        const server = createServer((_request, response) => {
            this.registry.metrics().then(
                text => response.writeHead(200, { "content-type": this.registry.contentType }).end(text),
                (error: unknown) => response.writeHead(500).end(String(error)),
            );
        });
        return listenAt(server, splitAddress(address));
    }
}
