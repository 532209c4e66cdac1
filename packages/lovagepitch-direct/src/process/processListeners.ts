/**
 * HTTP servers of a process, each with its part of the process's memory and descriptors.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import {
    BoundedHttpServer,
    type BoundedHttpServerOptions,
    type ConnectionEnd,
} from "../connections/boundedHttpServer.js";
import { findConnectionLimits, type ListenerKind, type ProcessResources } from "../connections/connectionLimits.js";
import { ReadingTurns } from "../connections/readingTurns.js";
import type { DirectMetrics } from "./directMetrics.js";
import type { RateLimitedLog } from "./rateLimitedLog.js";

/** Messages of log lines, by which the metrics count too. */
const events: Readonly<Record<ConnectionEnd, string>> = {
    "memory": "connection closed to free memory",
    "descriptors": "connection closed to free a descriptor",
    "all-working": "connection refused because all others are working",
    "headers-too-large": "connection closed because its headers are too large",
    "no-request": "connection closed because no request arrived in time",
    "incomplete-body": "connection closed because a body did not arrive in time",
};

/** What differs between the HTTP servers of a process. */
export type ListenerOptions = Omit<BoundedHttpServerOptions, "clock" | "limits" | "turns" | "onEnd" | "onDefect">;

/** Longest description of an error in a log line, in characters. */
const maximumErrorLength = 2000;

/** Creates HTTP servers, and reports the connections that they close. */
export class ProcessListeners {
    private readonly turns = new ReadingTurns();

    /**
     * @param clock - monotonic clock
     * @param log - log of the process
     * @param metrics - metrics of the process
     * @param resources - memory and descriptors of the process
     */
    public constructor(
        private readonly clock: Clock,
        private readonly log: RateLimitedLog,
        private readonly metrics: DirectMetrics,
        private readonly resources: ProcessResources,
    ) {}

    /**
     * Creates an HTTP server.
     *
     * @param kind - kind of the listener, which decides on its part of the resources
     * @param options - limits and callbacks
     * @returns the server, which does not listen yet
     */
    public create(kind: ListenerKind, options: ListenerOptions): BoundedHttpServer {
        const server = new BoundedHttpServer({
            ...options,
            clock: this.clock,
            limits: findConnectionLimits(this.resources, kind),
            turns: this.turns,
            onEnd: (...end) => this.report(...end),
            onDefect: (listener, error) => this.reportDefect(listener, error),
        });
        const { listener } = options;
        this.metrics.addGauge(`${listener}_connections`, "Open connections", () => server.openConnections);
        this.metrics.addGauge(
            `${listener}_held_bytes`,
            "Memory that the connections and their requests hold, by an upper estimate",
            () => server.heldBytes,
        );
        return server;
    }

    private reportDefect(listener: string, error: unknown): void {
        const description = error instanceof Error ? error.stack ?? error.message : String(error);
        this.log.write("warn", "request failed because of an error; report it with this line", {
            listener,
            error: description.slice(0, maximumErrorLength),
        });
    }

    /**
     * Reports a connection that was closed or refused.
     *
     * @param listener - name of the listener
     * @param end - why it was closed
     * @param heldBytes - memory that it held, in bytes
     */
    public report(listener: string, end: ConnectionEnd, heldBytes: number): void {
        this.log.write(end === "no-request" ? "info" : "warn", events[end], { listener, heldBytes });
    }
}
