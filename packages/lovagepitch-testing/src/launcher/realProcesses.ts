/**
 * The processes of a deployment on the loopback address, and how to talk to them.
 */
import { request } from "undici";
import type { RecordedStart } from "../standIns/backendServer.js";
import type { LaunchedProcess } from "./processLauncher.js";

const requestTimeoutMilliseconds = 3000;

/** An entry. */
export interface RealEntry {
    readonly availabilityZone: string;
    /** Address for other processes, as `address:port`. */
    readonly address: string;
    /** Base address for callers. */
    readonly url: string;
    readonly settingsFile: string;
    /** The present life. */
    process: LaunchedProcess;
}

/** An agent and the backend server stand-in beside it. */
export interface RealAgent {
    readonly worker: string;
    readonly availabilityZone: string;
    readonly address: string;
    /** Base address of the agent's local port. */
    readonly url: string;
    readonly settingsFile: string;
    /** Base address of the backend server. */
    readonly backendServerUrl: string;
    readonly backendServer: LaunchedProcess;
    /** The present life. */
    process: LaunchedProcess;
}

/** What a process answers at `GET /status`, as far as tests need it. */
export interface RealStatus {
    readonly configurationVersion: number;
    readonly ready: boolean;
}

/**
 * Asks a process how it is.
 *
 * @param url - base address of its operators' routes
 * @returns its status, or undefined when it does not answer
 */
export async function readStatus(url: string): Promise<RealStatus | undefined> {
    try {
        const response = await request(`${url}/status`, createTimeoutOptions());
        return await response.body.json() as RealStatus;
    }
    catch {
        return undefined;
    }
}

/**
 * Reads the record of a backend server stand-in.
 *
 * @param agent - the agent beside it
 * @returns its starts so far; none when it is gone
 */
export async function readStarts(agent: RealAgent): Promise<readonly RecordedStart[]> {
    try {
        const response = await request(`${agent.backendServerUrl}/starts`, createTimeoutOptions());
        return await response.body.json() as RecordedStart[];
    }
    catch {
        return [];
    }
}

/**
 * Reads one metric, summed over its labels.
 *
 * @param url - base address of a process's operators' routes
 * @param name - name of the metric
 * @returns the sum; 0 when the process does not answer
 */
export async function readMetric(url: string, name: string): Promise<number> {
    try {
        const response = await request(`${url}/metrics`, createTimeoutOptions());
        const text = await response.body.text();
        const values = text.split("\n")
            .filter(line => line.startsWith(`${name} `) || line.startsWith(`${name}{`))
            .map(line => Number(line.slice(line.lastIndexOf(" ") + 1)));
        return values.reduce((sum, value) => sum + value, 0);
    }
    catch {
        return 0;
    }
}

/**
 * Sends a control request.
 *
 * @param method - HTTP method
 * @param url - full address
 * @param body - JSON value, or undefined for none
 * @returns the HTTP status
 */
export async function sendControl(method: "PUT" | "POST", url: string, body?: unknown): Promise<number> {
    const headers = { "content-type": "application/json" };
    const response = await request(url, {
        method,
        headers,
        body: JSON.stringify(body ?? {}),
        ...createTimeoutOptions(),
    });
    await response.body.dump();
    return response.statusCode;
}

function createTimeoutOptions(): { readonly headersTimeout: number; readonly bodyTimeout: number } {
    return { headersTimeout: requestTimeoutMilliseconds, bodyTimeout: requestTimeoutMilliseconds };
}
