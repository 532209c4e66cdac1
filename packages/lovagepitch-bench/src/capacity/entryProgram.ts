/**
 * An entry that runs as a separate process, and the counts from its metrics.
 */
import type { JobAnswer, JobRequest } from "@lovagepitch/types/job";
import { Agent, type Dispatcher, request } from "undici";
import { parseMetrics } from "./parseMetrics.js";
import { ProgramProcess, programs } from "./programProcess.js";

const maximumCallerConnections = 2_000;
const maximumIdsPerRequest = 1_000;

/** Counters of one entry since its start, and its current gauges. */
export interface EntryCounts {
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

/** Answer to a submission, with its HTTP status. */
export interface CallerAnswer {
    readonly status: number;
    readonly answer: Partial<JobAnswer>;
}

/** One entry process. */
export class EntryProgram {
    private readonly program: ProgramProcess;
    private readonly caller = new Agent({ connections: maximumCallerConnections, headersTimeout: 0, bodyTimeout: 0 });
    private callerUrl = "";

    /**
     * @param settingsPath - path of the entry's settings file
     */
    public constructor(settingsPath: string) {
        this.program = new ProgramProcess(programs.cli, ["entry", "--settings", settingsPath]);
    }

    /**
     * Waits until the entry accepts requests.
     *
     * @returns a promise that resolves when the entry accepts requests
     */
    public async waitUntilServing(): Promise<void> {
        const match = await this.program.waitForLine(/"callerPort":(\d+)/);
        this.callerUrl = `http://127.0.0.1:${match[1]}`;
    }

    /**
     * Reads the entry's counts from its metrics and from the kernel.
     *
     * @returns the current counts
     */
    public async readCounts(): Promise<EntryCounts> {
        const response = await this.sendRequest("GET", "/metrics");
        const values = parseMetrics(await response.body.text());
        const getValue = (name: string): number => values.get(`lovagepitch_entry_${name}`) ?? 0;
        return {
            ...this.program.usage,
            agents: getValue("agents"),
            starts: getValue("starts_total"),
            messagesSent: getValue("messages_sent_total"),
            messagesReceived: getValue("messages_received_total"),
            bytesSent: getValue("link_bytes_sent_total"),
            bytesReceived: getValue("link_bytes_received_total"),
            configurationVersion: getValue("configuration_version"),
        };
    }

    /**
     * Requests submission ids from the entry.
     *
     * @param count - number of ids
     * @returns the issued ids
     */
    public async requestSubmissionIds(count: number): Promise<readonly string[]> {
        const ids: string[] = [];
        while (ids.length < count) {
            const requestedCount = Math.min(maximumIdsPerRequest, count - ids.length);
            const response = await this.sendRequest("POST", `/v1/submissions?count=${requestedCount}`);
            const { submissions } = await response.body.json() as { readonly submissions: readonly string[] };
            ids.push(...submissions);
        }
        return ids;
    }

    /**
     * Submits a job under an issued id.
     *
     * @param submission - the issued id
     * @param job - job to submit
     * @returns HTTP status and answer
     */
    public async submit(submission: string, job: JobRequest): Promise<CallerAnswer> {
        const response = await this.sendRequest("PUT", `/v1/submissions/${submission}`, job);
        return { status: response.statusCode, answer: await response.body.json() as Partial<JobAnswer> };
    }

    /**
     * Submits a job under a caller's key.
     *
     * @param key - idempotency key
     * @param job - job to submit
     * @returns HTTP status and answer
     */
    public async submitWithKey(key: string, job: JobRequest): Promise<CallerAnswer> {
        const response = await this.sendRequest("POST", "/v1/jobs", job, { "idempotency-key": key });
        return { status: response.statusCode, answer: await response.body.json() as Partial<JobAnswer> };
    }

    /**
     * Kills the entry's process.
     *
     * @returns a promise that resolves when the process has exited
     */
    public async kill(): Promise<void> {
        await this.program.kill();
        await this.caller.destroy();
    }

    private sendRequest(
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
 * Computes the increase of the counters between two readings; memory and gauges are those of the later one.
 *
 * @param later - counts of the later reading
 * @param earlier - counts of the earlier reading
 * @returns increase of the counters, and the gauges of the later reading
 */
export function subtractEntryCounts(later: EntryCounts, earlier: EntryCounts): EntryCounts {
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
 * Sums up the counts of several entries.
 *
 * @param counts - the readings
 * @returns the sums, but the lowest configuration version and the lowest number of agents
 */
export function addEntryCounts(counts: readonly EntryCounts[]): EntryCounts {
    return counts.reduce((sum, one) => ({
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
