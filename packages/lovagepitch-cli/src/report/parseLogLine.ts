/**
 * Parsing of single lines of the processes' logs.
 */

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** A parsed log line. */
export interface LogLine {
    /** Milliseconds since the epoch. */
    readonly timeMilliseconds: number;
    readonly fields: LogFields;
}

/**
 * Parses a line. Text before the first brace is skipped, because collectors of logs put their own fields there.
 *
 * @param line - one line of a log
 * @returns the line, or undefined when it is not a log line of this project
 */
export function parseLogLine(line: string): LogLine | undefined {
    const start = line.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    let value: unknown;
    try {
        value = JSON.parse(line.slice(start));
    }
    catch {
        // The line was cut off, or another program has written it; the caller counts such lines.
        return undefined;
    }
    const fields = value as LogFields | null;
    const timeMilliseconds = Date.parse(String(fields?.["time"]));
    return fields === null || Number.isNaN(timeMilliseconds) || typeof fields["event"] !== "string"
        ? undefined
        : { timeMilliseconds, fields };
}
