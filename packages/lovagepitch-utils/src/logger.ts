/**
 * Structured logs: one JSON line per event on standard output.
 */
import type { Decision } from "@lovagepitch/types/decision";
import { Logger } from "tslog";

const levels = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/** What a process logs. */
export abstract class EventLog {
    /**
     * Logs a routing or placement decision.
     *
     * @param decision - the decision; it carries no payload
     */
    public abstract decision(decision: Decision): void;

    /**
     * Logs an event of the process.
     *
     * @param level - severity
     * @param message - what happened, and the remedy when there is one
     * @param fields - facts for machines
     */
    public abstract event(
        level: keyof typeof levels,
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
    public constructor(name: string, level: keyof typeof levels) {
        super();
        this.logger = new Logger({ name, type: "json", minLevel: levels[level], hideLogPositionForProduction: true });
    }

    /** {@inheritDoc EventLog.decision} */
    public override decision(decision: Decision): void {
        this.logger.info("decision", decision);
    }

    /** {@inheritDoc EventLog.event} */
    public override event(
        level: keyof typeof levels,
        message: string,
        fields: Readonly<Record<string, unknown>> = {},
    ): void {
        this.logger[level](message, fields);
    }
}
