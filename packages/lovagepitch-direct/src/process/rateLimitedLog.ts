/**
 * A log whose volume is bounded: under load, lines beyond the bound are counted instead of written.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import { JsonEventLog } from "@lovagepitch/utils/logger";
import type { DirectMetrics } from "./directMetrics.js";

/** Lines of severity "info" that may be written in one second; an entry at its usual load writes about 100. */
const infoLinesPerSecond = 200;

/** Lines of severity "warn" that may be written in one second. */
const warningLinesPerSecond = 100;

/** Length of the window that the bounds apply to, in milliseconds. */
const windowMilliseconds = 1000;

/** Writes structured lines to standard output, and says how many it left out. */
export class RateLimitedLog {
    private readonly log: JsonEventLog;
    private windowStart = 0;
    private writtenLines = { info: 0, warn: 0 };
    private omittedLines = 0;

    /**
     * @param name - name of the process
     * @param clock - steady clock
     * @param metrics - counts every event, also those that are left out
     */
    public constructor(name: string, private readonly clock: Clock, private readonly metrics: DirectMetrics) {
        this.log = new JsonEventLog(name, "info");
    }

    /**
     * Writes a line, if the window has room for it.
     *
     * @param level - severity
     * @param event - what happened
     * @param fields - facts that decided it
     */
    public write(level: "info" | "warn", event: string, fields: Readonly<Record<string, unknown>>): void {
        this.metrics.countEvent(event);
        const now = this.clock.nowMilliseconds();
        if (now - this.windowStart >= windowMilliseconds) {
            this.startWindow(now);
        }
        const bound = level === "info" ? infoLinesPerSecond : warningLinesPerSecond;
        if (this.writtenLines[level] >= bound) {
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
