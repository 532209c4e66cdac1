/**
 * Structured logging: one JSON line per event on standard output.
 */
import type { Decision } from "@lovagepitch/types/decision";
import { type ILogObj, type ILogObjMeta, Logger } from "tslog";

const severityLevels = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/** Structured log of a process. */
export abstract class EventLog {
    /**
     * Logs a routing or placement decision.
     *
     * @param decision - decision without payloads
     */
    public abstract logDecision(decision: Decision): void;

    /**
     * Logs an event of the process.
     *
     * @param level - severity
     * @param message - what happened, and the remedy when there is one
     * @param fields - structured data of the event
     */
    public abstract logEvent(
        level: keyof typeof severityLevels,
        message: string,
        fields?: Readonly<Record<string, unknown>>,
    ): void;
}

/** Log in JSON lines, written by tslog. */
export class JsonEventLog extends EventLog {
    private readonly logger: Logger<unknown>;
    private pendingLines: string[] = [];

    /**
     * @param name - name of the process
     * @param level - lowest severity that is logged
     */
    public constructor(name: string, level: keyof typeof severityLevels) {
        super();
        this.logger = new Logger({
            name,
            type: "json",
            minLevel: severityLevels[level],
            hideLogPositionForProduction: true,
            overwrite: {
                // Masking and copying of the fields take ten times as long as the line itself; nothing is to be masked.
                mask: fields => fields,
                toLogObj: ([fields]) => fields,
                addMeta: (line, _levelId, levelName) => createLine(name, line as object, levelName),
                transportJSON: line => this.writeLater(JSON.stringify(line)),
            },
        });
        process.on("exit", () => this.flush());
    }

    /** {@inheritDoc EventLog.logDecision} */
    public override logDecision(decision: Decision): void {
        this.logger.info({ event: "decision", ...decision });
    }

    /** {@inheritDoc EventLog.logEvent} */
    public override logEvent(
        level: keyof typeof severityLevels,
        message: string,
        fields: Readonly<Record<string, unknown>> = {},
    ): void {
        this.logger[level]({ event: message, ...fields });
    }

    /** Writes the lines of one turn of the event loop together. */
    private writeLater(line: string): void {
        if (this.pendingLines.length === 0) {
            setImmediate(() => this.flush());
        }
        this.pendingLines.push(line);
    }

    private flush(): void {
        if (this.pendingLines.length > 0) {
            process.stdout.write(this.pendingLines.join("\n") + "\n");
            this.pendingLines = [];
        }
    }
}

/** Creates a line with time, level and process first and the fields of the event after them, at the same depth. */
function createLine(process: string, line: object, levelName: string): ILogObj & ILogObjMeta {
    const commonFields = { time: new Date().toISOString(), level: levelName.toLowerCase(), process };
    return { ...commonFields, ...line } as unknown as ILogObj & ILogObjMeta;
}
