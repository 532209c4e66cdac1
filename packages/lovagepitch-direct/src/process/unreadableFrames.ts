/**
 * Connections that this process closed because it could not read a frame. The peer connects again and again, so each
 * reason is logged once and every connection is counted.
 */
import type { StreamEnd } from "../links/frameStream.js";
import type { DirectMetrics } from "./directMetrics.js";
import type { RateLimitedLog } from "./rateLimitedLog.js";

/** Message of the log line, by which the metrics count too. */
const event = "connection closed because of an unreadable frame";

/** Reports such connections. */
export class UnreadableFrames {
    private readonly loggedReasons = new Set<string>();

    /**
     * @param log - log of the process
     * @param metrics - metrics of the process
     */
    public constructor(private readonly log: RateLimitedLog, private readonly metrics: DirectMetrics) {}

    /**
     * Records the end of a connection.
     *
     * @param end - how it has ended
     */
    public record(end: StreamEnd): void {
        if (!end.isUnreadable) {
            return;
        }
        if (this.loggedReasons.has(end.reason)) {
            this.metrics.countEvent(event);
            return;
        }
        this.loggedReasons.add(end.reason);
        this.log.write("warn", event, { reason: end.reason });
    }
}
