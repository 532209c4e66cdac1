/**
 * A log line that a core emits and its process writes.
 */
export interface LogLine {
    readonly kind: "log";
    readonly level: "info" | "warn";
    /** Message of the line, which is also the event that the metrics count. */
    readonly event: string;
    /** Structured values that explain the event. */
    readonly fields: Readonly<Record<string, unknown>>;
}
