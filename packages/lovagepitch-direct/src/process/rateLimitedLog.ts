/**
 * A log with a limited rate: lines beyond the limit are counted instead of written.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import { JsonEventLog } from "@lovagepitch/utils/logger";
import type { DirectMetrics } from "./directMetrics.js";

/** Limit on lines of severity "info" per second; an entry at its typical load writes about 100. */
const infoLinesPerSecond = 200;

/** Limit on lines of severity "warn" per second. */
const warningLinesPerSecond = 100;

/** Length of the window that the limits apply to, in milliseconds. */
const windowMilliseconds = 1000;

/** Writes structured log lines to standard output, and reports how many were omitted. */
export class RateLimitedLog {
    private readonly log: JsonEventLog;
    private windowStart = 0;
    private writtenLines = { info: 0, warn: 0 };
    private omittedLines = 0;

    /**
     * @param name - instance name that each line carries
     * @param clock - monotonic clock
     * @param metrics - counts every event, including omitted lines
     */
    public constructor(name: string, private readonly clock: Clock, private readonly metrics: DirectMetrics) {
        this.log = new JsonEventLog(name, "info");
    }

    /**
     * Writes a line, unless the limit of the current window is reached.
     *
     * @param level - severity
     * @param event - message, which is also the event that the metrics count
     * @param fields - structured values that explain the event
     */
    public write(level: "info" | "warn", event: string, fields: Readonly<Record<string, unknown>>): void {
        this.metrics.countEvent(event);
        const now = this.clock.nowMilliseconds();
        if (now - this.windowStart >= windowMilliseconds) {
            this.startWindow(now);
        }
        const limit = level === "info" ? infoLinesPerSecond : warningLinesPerSecond;
        if (this.writtenLines[level] >= limit) {
            this.omittedLines += 1;
            this.metrics.countOmittedLine();
            return;
        }
        this.writtenLines[level] += 1;
        this.log.logEvent(level, event, fields);
    }

    private startWindow(now: number): void {
        if (this.omittedLines > 0) {
            this.log.logEvent("warn", "log lines were left out", { lines: this.omittedLines });
        }
        this.windowStart = now;
        this.writtenLines = { info: 0, warn: 0 };
        this.omittedLines = 0;
    }
}
