/**
 * Limits on log lines. One event that comes often leaves lines to the others, so that a decision on a job can be found in the logs of
 * a process under load.
 */

/** Severity of a line. */
type Level = "info" | "warn";

/** Limits on lines per second by severity; an entry at its typical load writes about 100 of severity "info". */
const linesPerSecond: Readonly<Record<Level, number>> = { info: 200, warn: 100 };

/** Largest part of a limit that the lines of one event may use. */
const maximumEventPart = 0.45;

/** Length of the window that the limits apply to, in milliseconds. */
const windowMilliseconds = 1000;

/** Number of lines that were omitted, by event. */
export type OmittedLines = Readonly<Record<string, number>>;

/** Decides which lines are written. */
export class LineBudget {
    private windowStart = Number.NEGATIVE_INFINITY;
    private written = { info: 0, warn: 0 };
    private readonly writtenByEvent = new Map<string, number>();
    private readonly omittedByEvent = new Map<string, number>();

    /**
     * Begins the next window when the current one is over.
     *
     * @param now - current monotonic time, in milliseconds
     * @returns lines that were omitted in the window that has ended; undefined when there were none or it goes on
     */
    public beginWindow(now: number): OmittedLines | undefined {
        if (now - this.windowStart < windowMilliseconds) {
            return undefined;
        }
        const omitted = this.omittedByEvent.size === 0 ? undefined : Object.fromEntries(this.omittedByEvent);
        this.windowStart = now;
        this.written = { info: 0, warn: 0 };
        this.writtenByEvent.clear();
        this.omittedByEvent.clear();
        return omitted;
    }

    /**
     * Takes a line from the budget of the current window.
     *
     * @param level - severity
     * @param event - event of the line
     * @returns false when the line is to be omitted
     */
    public take(level: Level, event: string): boolean {
        const limit = linesPerSecond[level];
        const ofEvent = this.writtenByEvent.get(event) ?? 0;
        if (this.written[level] >= limit || ofEvent >= limit * maximumEventPart) {
            this.omittedByEvent.set(event, (this.omittedByEvent.get(event) ?? 0) + 1);
            return false;
        }
        this.written[level] += 1;
        this.writtenByEvent.set(event, ofEvent + 1);
        return true;
    }
}
