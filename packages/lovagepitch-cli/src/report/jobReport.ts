/**
 * Counts the outcomes of direct jobs from the log lines of entries and agents, by second of arrival and by route. Memory
 * is bounded by the jobs that are placed but not answered yet, not by the length of the logs.
 */
import type { LogFields } from "./parseLogLine.js";

const millisecondsPerSecond = 1000;

/** Placed jobs without an answer above which the oldest are forgotten; an entry holds at most 4,000 open jobs. */
const maximumOpenJobs = 100_000;

/** Events of processes that explain what happens to jobs around them. */
const markedEvents: ReadonlySet<unknown> = new Set([
    "entry starts",
    "entry stops",
    "agent starts",
    "agent shuts down",
    "worker drains",
    "worker left",
    "worker has restarted",
    "worker does not respond",
    "worker paused",
    "leases expired at an unresponsive worker",
    "unresponsive agent removed",
    "store unreachable",
    "configuration in force",
]);

/** Outcomes of the jobs of one route that arrived in one second. */
export interface OutcomeCounts {
    /** Jobs that were answered; jobs without an answer in the logs are not known to have arrived. */
    readonly arrived: number;
    /** Done, and the last placement was not later than the job's latest start. */
    readonly startedInTime: number;
    /** Done, and the last placement was later. */
    readonly startedLate: number;
    /** Done, but no placement is in the logs. */
    readonly doneWithoutPlacement: number;
    /** Numbers of the other answers, by kind and reason. */
    readonly others: Readonly<Record<string, number>>;
    /** Sum of the times from arrival to the last placement, in milliseconds, of the jobs that were done. */
    readonly waitMilliseconds: number;
    /** Refused jobs of which at least one task would have fitted into the capacity that the entry saw. */
    readonly refusedWithRoom: number;
}

/** Outcomes of one second. */
export interface SecondReport {
    /** Second of arrival, from the first line of the logs. */
    readonly second: number;
    readonly routes: Readonly<Record<string, OutcomeCounts>>;
    /** Numbers of events of processes in this second. */
    readonly events: Readonly<Record<string, number>>;
}

interface MutableSecond {
    readonly routes: Map<string, OutcomeCounts>;
    readonly events: Map<string, number>;
}

const noOutcomes: OutcomeCounts = {
    arrived: 0,
    startedInTime: 0,
    startedLate: 0,
    doneWithoutPlacement: 0,
    others: {},
    waitMilliseconds: 0,
    refusedWithRoom: 0,
};

/** Collects log lines. */
export class JobReport {
    private readonly seconds = new Map<number, MutableSecond>();
    /** Time from arrival to the last placement of each open job, in milliseconds. */
    private readonly placements = new Map<string, number>();
    private omittedLines = 0;

    /** Log lines that the processes have left out; jobs may be missing from the report. */
    public get linesLeftOut(): number {
        return this.omittedLines;
    }

    /**
     * Adds a log line.
     *
     * @param timeMilliseconds - time of the line, in milliseconds since the epoch
     * @param fields - fields of the line
     */
    public add(timeMilliseconds: number, fields: LogFields): void {
        const { event, job } = fields;
        if (event === "tasks placed" && typeof job === "string") {
            this.recordPlacement(job, readNumber(fields, "sinceArrival"));
        }
        else if (event === "job answered" && typeof job === "string") {
            this.recordAnswer(timeMilliseconds, job, fields);
        }
        else if (event === "log lines were left out") {
            this.omittedLines += readNumber(fields, "lines");
        }
        else if (markedEvents.has(event)) {
            const { events } = this.getSecond(timeMilliseconds);
            events.set(String(event), (events.get(String(event)) ?? 0) + 1);
        }
    }

    /**
     * Lists the outcomes.
     *
     * @returns seconds in ascending order, counted from the first one
     */
    public listSeconds(): readonly SecondReport[] {
        const ordered = [...this.seconds].sort(([left], [right]) => left - right);
        const first = ordered[0]?.[0] ?? 0;
        return ordered.map(([second, { routes, events }]) => ({
            second: second - first,
            routes: Object.fromEntries(routes),
            events: Object.fromEntries(events),
        }));
    }

    private recordPlacement(job: string, sinceArrival: number): void {
        this.placements.set(job, Math.max(sinceArrival, this.placements.get(job) ?? 0));
        if (this.placements.size > maximumOpenJobs) {
            const [oldest] = this.placements.keys();
            this.placements.delete(oldest ?? job);
        }
    }

    private recordAnswer(timeMilliseconds: number, job: string, fields: LogFields): void {
        const { routes } = this.getSecond(timeMilliseconds - readNumber(fields, "afterMilliseconds"));
        const route = String(fields["route"]);
        const counts = routes.get(route) ?? noOutcomes;
        const placedAfter = this.placements.get(job);
        this.placements.delete(job);
        routes.set(route, countAnswer({ ...counts, arrived: counts.arrived + 1 }, fields, placedAfter));
    }

    private getSecond(timeMilliseconds: number): MutableSecond {
        const key = Math.floor(timeMilliseconds / millisecondsPerSecond);
        const second = this.seconds.get(key) ?? { routes: new Map(), events: new Map() };
        this.seconds.set(key, second);
        return second;
    }
}

function countAnswer(counts: OutcomeCounts, fields: LogFields, placedAfter: number | undefined): OutcomeCounts {
    if (fields["answer"] !== "done") {
        const reason = typeof fields["reason"] === "string" ? `: ${fields["reason"]}` : "";
        const name = `${String(fields["answer"])}${reason}`;
        return {
            ...counts,
            others: { ...counts.others, [name]: (counts.others[name] ?? 0) + 1 },
            refusedWithRoom: counts.refusedWithRoom + (readNumber(fields, "fittingTasks") > 0 ? 1 : 0),
        };
    }
    if (placedAfter === undefined) {
        return { ...counts, doneWithoutPlacement: counts.doneWithoutPlacement + 1 };
    }
    const waitMilliseconds = counts.waitMilliseconds + placedAfter;
    return placedAfter <= readNumber(fields, "latestStart")
        ? { ...counts, waitMilliseconds, startedInTime: counts.startedInTime + 1 }
        : { ...counts, waitMilliseconds, startedLate: counts.startedLate + 1 };
}

function readNumber(fields: LogFields, name: string): number {
    const value = fields[name];
    return typeof value === "number" ? value : 0;
}
