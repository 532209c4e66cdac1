/**
 * Structured logs: one JSON line per event on standard output.
 */
import type { Decision } from "@lovagepitch/types/decision";
import { type ILogObj, type ILogObjMeta, Logger } from "tslog";

const severityLevels = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/** What a process logs. */
export abstract class EventLog {
    /**
     * Logs a routing or placement decision.
     *
     * @param decision - the decision; it carries no payload
     */
    public abstract logDecision(decision: Decision): void;

    /**
     * Logs an event of the process.
     *
     * @param level - severity
     * @param message - what happened, and the remedy when there is one
     * @param fields - facts for machines
     */
    public abstract logEvent(
        level: keyof typeof severityLevels,
        message: string,
        fields?: Readonly<Record<string, unknown>>,
    ): void;
}

/** Logs by tslog. */
export class JsonEventLog extends EventLog {
    private readonly logger: Logger<unknown>;

    /**
     * @param name - name of the process
     * @param level - least severity that is written
     */
    public constructor(name: string, level: keyof typeof severityLevels) {
        super();
        this.logger = new Logger({
            name,
            type: "json",
            minLevel: severityLevels[level],
            hideLogPositionForProduction: true,
            overwrite: { addMeta: (line, _levelId, levelName) => createLine(name, line as object, levelName) },
        });
    }

    /** {@inheritDoc EventLog.decision} */
    public override logDecision(decision: Decision): void {
        this.logger.info({ event: "decision", ...decision });
    }

    /** {@inheritDoc EventLog.event} */
    public override logEvent(
        level: keyof typeof severityLevels,
        message: string,
        fields: Readonly<Record<string, unknown>> = {},
    ): void {
        this.logger[level]({ event: message, ...fields });
    }
}

/** Time, level and process come first; the fields of the event follow at the same depth. */
function createLine(process: string, line: object, levelName: string): ILogObj & ILogObjMeta {
    const commonFields = { time: new Date().toISOString(), level: levelName.toLowerCase(), process };
    return { ...commonFields, ...line } as unknown as ILogObj & ILogObjMeta;
}
