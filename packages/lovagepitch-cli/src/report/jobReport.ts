/**
 * Counts the outcomes of direct jobs from the log lines of entries and agents, by second of arrival and by group. Memory
 * is bounded by the jobs that are placed but not answered yet, not by the length of the logs.
 */
import { AnswerTimes, type AnswerTimeSummary } from "./answerTimes.js";
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
    "worker refuses calls",
    "worker has crashed",
    "worker capacity changed",
    "job crashes the workers that run it",
    "jobs of a route are confined to few workers",
    "jobs of a route are no longer confined",
    "worker paused",
    "leases expired at an unresponsive worker",
    "unresponsive agent removed",
    "store unreachable",
    "configuration in force",
]);

/** Property of a job or of its entry by which outcomes are counted. */
export type ReportGroup = "route" | "process" | "zone";

/** Outcomes of the jobs of one group that arrived in one second. */
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
    readonly groups: Readonly<Record<string, OutcomeCounts>>;
    /** Numbers of events of processes in this second. */
    readonly events: Readonly<Record<string, number>>;
}

/** Times from arrival to answer of all jobs of one group. */
export interface GroupTimes {
    readonly group: string;
    readonly done: AnswerTimeSummary;
    readonly refused: AnswerTimeSummary;
    /** Duration of runs that started and did not succeed, in milliseconds, by how they ended. */
    readonly lostRunMilliseconds: Readonly<Record<string, number>>;
}

interface MutableTimes {
    readonly done: AnswerTimes;
    readonly refused: AnswerTimes;
    readonly lostRuns: Map<string, number>;
}

/** What the logs tell of a job that was placed and is not answered yet. */
interface OpenJob {
    /** Time from arrival to the last placement, in milliseconds; undefined before the first. */
    placedAfter: number | undefined;
    /** Duration of runs that did not succeed, in milliseconds, by how they ended. */
    readonly lostRuns: Map<string, number>;
}

/** Group of an entry whose availability zone the logs do not tell. */
const unknownZone = "unknown";

interface MutableSecond {
    readonly groups: Map<string, OutcomeCounts>;
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
    private readonly openJobs = new Map<string, OpenJob>();
    private readonly times = new Map<string, MutableTimes>();
    /** Availability zones of the entries, by process. */
    private readonly zones = new Map<string, string>();
    private omittedLines = 0;

    /**
     * @param group - property by which outcomes are counted
     */
    public constructor(private readonly group: ReportGroup) {}

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
        if (event === "entry starts" && typeof fields["availabilityZone"] === "string") {
            this.zones.set(String(fields["process"]), fields["availabilityZone"]);
        }
        if (event === "tasks placed" && typeof job === "string") {
            this.recordPlacement(job, readNumber(fields, "sinceArrival"));
        }
        else if (event === "job answered" && typeof job === "string") {
            this.recordAnswer(timeMilliseconds, job, fields);
        }
        else if (event === "run did not succeed" && typeof job === "string") {
            this.recordLostRun(job, fields);
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
        return ordered.map(([second, { groups, events }]) => ({
            second: second - first,
            groups: Object.fromEntries(groups),
            events: Object.fromEntries(events),
        }));
    }

    /**
     * Lists the times to answer.
     *
     * @returns a summary of each group, in order of their names
     */
    public listTimes(): readonly GroupTimes[] {
        return [...this.times].sort(([left], [right]) => left.localeCompare(right)).map(([group, times]) => ({
            group,
            done: times.done.summarise(),
            refused: times.refused.summarise(),
            lostRunMilliseconds: Object.fromEntries(times.lostRuns),
        }));
    }

    private findGroup(fields: LogFields): string {
        const process = String(fields["process"]);
        switch (this.group) {
            case "route":
                return String(fields["route"]);
            case "process":
                return process;
            case "zone":
                return this.zones.get(process) ?? unknownZone;
        }
    }

    private getTimes(group: string): MutableTimes {
        const times = this.times.get(group)
            ?? { done: new AnswerTimes(), refused: new AnswerTimes(), lostRuns: new Map<string, number>() };
        this.times.set(group, times);
        return times;
    }

    /** Records a run that ended without success. Its line names no group, so it waits for the answer of its job. */
    private recordLostRun(job: string, fields: LogFields): void {
        const { lostRuns } = this.getOpenJob(job);
        const end = String(fields["end"]);
        lostRuns.set(end, (lostRuns.get(end) ?? 0) + readNumber(fields, "ranMilliseconds"));
    }

    private getOpenJob(id: string): OpenJob {
        const job = this.openJobs.get(id) ?? { placedAfter: undefined, lostRuns: new Map<string, number>() };
        this.openJobs.set(id, job);
        if (this.openJobs.size > maximumOpenJobs) {
            const [oldest] = this.openJobs.keys();
            this.openJobs.delete(oldest ?? id);
        }
        return job;
    }

    private recordPlacement(job: string, sinceArrival: number): void {
        const open = this.getOpenJob(job);
        open.placedAfter = Math.max(sinceArrival, open.placedAfter ?? 0);
    }

    private recordAnswer(timeMilliseconds: number, job: string, fields: LogFields): void {
        const afterMilliseconds = readNumber(fields, "afterMilliseconds");
        const { groups } = this.getSecond(timeMilliseconds - afterMilliseconds);
        const group = this.findGroup(fields);
        const counts = groups.get(group) ?? noOutcomes;
        const { answer } = fields;
        if (answer === "done" || answer === "refused") {
            this.getTimes(group)[answer].record(afterMilliseconds);
        }
        const open = this.openJobs.get(job);
        this.openJobs.delete(job);
        const { lostRuns } = this.getTimes(group);
        for (const [end, milliseconds] of open?.lostRuns ?? []) {
            lostRuns.set(end, (lostRuns.get(end) ?? 0) + milliseconds);
        }
        groups.set(group, countAnswer({ ...counts, arrived: counts.arrived + 1 }, fields, open?.placedAfter));
    }

    private getSecond(timeMilliseconds: number): MutableSecond {
        const key = Math.floor(timeMilliseconds / millisecondsPerSecond);
        const second = this.seconds.get(key) ?? { groups: new Map(), events: new Map() };
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
