/**
 * An entry that runs as a process of its own, and what it tells of itself.
 */
import type { JobAnswer, JobRequest } from "@lovagepitch/types/job";
import { Agent, type Dispatcher, request } from "undici";
import { parseMetrics } from "./metricsText.js";
import { ProgramProcess, programs } from "./programProcess.js";

const callerConnections = 2_000;
const mostIdsAtOnce = 1_000;

/** Counts of one entry since it started. */
export interface EntryReading {
    readonly processorSeconds: number;
    readonly residentBytes: number;
    readonly agents: number;
    readonly starts: number;
    readonly messagesSent: number;
    readonly messagesReceived: number;
    readonly bytesSent: number;
    readonly bytesReceived: number;
    readonly configurationVersion: number;
}

/** A caller's answer with its HTTP status. */
export interface CallerAnswer {
    readonly status: number;
    readonly answer: Partial<JobAnswer>;
}

/** One entry. */
export class EntryProgram {
    private readonly program: ProgramProcess;
    private readonly caller = new Agent({ connections: callerConnections, headersTimeout: 0, bodyTimeout: 0 });
    private callerUrl = "";

    /**
     * @param settingsPath - path of the settings file
     */
    public constructor(settingsPath: string) {
        this.program = new ProgramProcess(programs.cli, ["entry", "--settings", settingsPath]);
    }

    /**
     * Waits until the entry serves.
     *
     * @returns when it does
     */
    public async waitUntilServing(): Promise<void> {
        const match = await this.program.waitForLine(/"callerPort":(\d+)/);
        this.callerUrl = `http://127.0.0.1:${match[1]}`;
    }

    /**
     * Reads the entry's counts.
     *
     * @returns the counts
     */
    public async read(): Promise<EntryReading> {
        const response = await this.call("GET", "/metrics");
        const values = parseMetrics(await response.body.text());
        const value = (name: string): number => values.get(`lovagepitch_entry_${name}`) ?? 0;
        return {
            ...this.program.usage,
            agents: value("agents"),
            starts: value("starts_total"),
            messagesSent: value("messages_sent_total"),
            messagesReceived: value("messages_received_total"),
            bytesSent: value("link_bytes_sent_total"),
            bytesReceived: value("link_bytes_received_total"),
            configurationVersion: value("configuration_version"),
        };
    }

    /**
     * Gets ids for submissions.
     *
     * @param count - how many
     * @returns the ids
     */
    public async issue(count: number): Promise<readonly string[]> {
        const ids: string[] = [];
        while (ids.length < count) {
            const wanted = Math.min(mostIdsAtOnce, count - ids.length);
            const response = await this.call("POST", `/v1/submissions?count=${wanted}`);
            const { submissions } = await response.body.json() as { readonly submissions: readonly string[] };
            ids.push(...submissions);
        }
        return ids;
    }

    /**
     * Submits a job under an issued id.
     *
     * @param submission - the id
     * @param job - the job
     * @returns the final answer
     */
    public async submit(submission: string, job: JobRequest): Promise<CallerAnswer> {
        const response = await this.call("PUT", `/v1/submissions/${submission}`, job);
        return { status: response.statusCode, answer: await response.body.json() as Partial<JobAnswer> };
    }

    /**
     * Submits a job under a caller's key.
     *
     * @param key - the key
     * @param job - the job
     * @returns the final answer
     */
    public async submitWithKey(key: string, job: JobRequest): Promise<CallerAnswer> {
        const response = await this.call("POST", "/v1/jobs", job, { "idempotency-key": key });
        return { status: response.statusCode, answer: await response.body.json() as Partial<JobAnswer> };
    }

    /**
     * Ends the entry at once.
     *
     * @returns when it has ended
     */
    public async kill(): Promise<void> {
        await this.program.kill();
        await this.caller.destroy();
    }

    private call(
        method: Dispatcher.HttpMethod,
        path: string,
        body?: JobRequest,
        headers: Readonly<Record<string, string>> = {},
    ): Promise<Dispatcher.ResponseData> {
        return request(this.callerUrl + path, {
            method,
            dispatcher: this.caller,
            headers: { "content-type": "application/json", ...headers },
            ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        });
    }
}

/**
 * Subtracts an earlier reading; memory and present counts stay those of the later one.
 *
 * @param later - the later reading
 * @param earlier - the earlier reading
 * @returns what happened between them
 */
export function subtractReading(later: EntryReading, earlier: EntryReading): EntryReading {
    return {
        ...later,
        processorSeconds: later.processorSeconds - earlier.processorSeconds,
        starts: later.starts - earlier.starts,
        messagesSent: later.messagesSent - earlier.messagesSent,
        messagesReceived: later.messagesReceived - earlier.messagesReceived,
        bytesSent: later.bytesSent - earlier.bytesSent,
        bytesReceived: later.bytesReceived - earlier.bytesReceived,
    };
}

/**
 * Adds up the readings of several entries.
 *
 * @param readings - the readings
 * @returns their sums; the lowest configuration version and number of agents
 */
export function addReadings(readings: readonly EntryReading[]): EntryReading {
    return readings.reduce((sum, one) => ({
        processorSeconds: sum.processorSeconds + one.processorSeconds,
        residentBytes: sum.residentBytes + one.residentBytes,
        agents: Math.min(sum.agents, one.agents),
        starts: sum.starts + one.starts,
        messagesSent: sum.messagesSent + one.messagesSent,
        messagesReceived: sum.messagesReceived + one.messagesReceived,
        bytesSent: sum.bytesSent + one.bytesSent,
        bytesReceived: sum.bytesReceived + one.bytesReceived,
        configurationVersion: Math.min(sum.configurationVersion, one.configurationVersion),
    }));
}
