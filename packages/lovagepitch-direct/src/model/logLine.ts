/**
 * A log line that a core asks its process to write.
 */
export interface LogLine {
    readonly kind: "log";
    readonly level: "info" | "warn";
    /** What happened. */
    readonly event: string;
    /** Facts that decided it. */
    readonly fields: Readonly<Record<string, unknown>>;
}
