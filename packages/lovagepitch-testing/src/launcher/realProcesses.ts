/**
 * Processes of a deployment of real processes, and requests to their HTTP interfaces.
 */
import { request } from "undici";
import type { RecordedStart } from "../standIns/backendServer.js";
import type { LaunchedProcess } from "./processLauncher.js";

const requestTimeoutMilliseconds = 3000;

/** A real entry process. */
export interface RealEntry {
    readonly availabilityZone: string;
    /** Address for entries and agents, as `address:port`. */
    readonly address: string;
    /** Base URL for callers. */
    readonly url: string;
    readonly settingsFile: string;
    /** Process of the current incarnation. */
    process: LaunchedProcess;
}

/** A real agent process and the backend server stand-in that it dispatches tasks to. */
export interface RealAgent {
    readonly worker: string;
    readonly availabilityZone: string;
    readonly address: string;
    /** Base URL of the agent's local port. */
    readonly url: string;
    readonly settingsFile: string;
    /** Base URL of the backend server. */
    readonly backendServerUrl: string;
    readonly backendServer: LaunchedProcess;
    /** Process of the agent's current incarnation. */
    process: LaunchedProcess;
}

/** Fields of the response of `GET /status` that the tests use. */
export interface RealStatus {
    readonly configurationVersion: number;
    readonly ready: boolean;
}

/**
 * Reads the status of a process.
 *
 * @param url - base URL that serves the operators' routes
 * @returns the status, or undefined if the process does not answer
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
 * Reads the task starts that a backend server stand-in recorded.
 *
 * @param agent - agent that the backend server belongs to
 * @returns the recorded starts; empty if the backend server does not answer
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
 * Reads a metric, summed over its labels.
 *
 * @param url - base URL that serves the operators' routes
 * @param name - name of the metric
 * @returns sum of the values; 0 if the process does not answer
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
 * Sends a control request to a stand-in.
 *
 * @param method - HTTP method
 * @param url - full URL of the request
 * @param body - value to send as JSON; an empty object if undefined
 * @returns the HTTP status code
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
