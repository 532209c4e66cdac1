/**
 * A log with a limited rate: lines beyond the limit are counted instead of written.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import { JsonEventLog } from "@lovagepitch/utils/logger";
import type { DirectMetrics } from "./directMetrics.js";
import { LineBudget } from "./lineBudget.js";

/** Writes structured log lines to standard output, and reports how many were omitted. */
export class RateLimitedLog {
    private readonly log: JsonEventLog;
    private readonly budget = new LineBudget();

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
        const omitted = this.budget.beginWindow(this.clock.nowMilliseconds());
        if (omitted !== undefined) {
            const lines = Object.values(omitted).reduce((sum, count) => sum + count, 0);
            this.log.logEvent("warn", "log lines were left out", { lines, events: omitted });
        }
        if (this.budget.take(level, event)) {
            this.log.logEvent(level, event, fields);
        }
        else {
            this.metrics.countOmittedLine();
        }
    }
}
