/**
 * HTTP client that sends tasks to the backend server, each at most once.
 */
import { measureJson } from "@lovagepitch/configuration/measureJson";
import type { JsonValue } from "@lovagepitch/types/job";
import type { BackendServerAnnouncement } from "@lovagepitch/types/registry";
import { type Dispatcher, Pool } from "undici";
import type { TaskOutcome } from "../core/agentInput.js";
import type { TaskDispatch } from "../core/agentOutput.js";

const tasksPath = "/v1/tasks";
const successStatus = 200;
const connectTimeoutMilliseconds = 1_000;
const outputLimits = { maximumDepth: 64, maximumBytes: 4 * 1024 * 1024 };
const maximumResponseBytes = outputLimits.maximumBytes;

/** A response that cannot be used. The message is the failure reason that the caller receives. */
class InvalidResponseError extends Error {}

/** Manages the connections to the backend server. */
export class BackendServerClient {
    private pool: Pool | undefined;
    private announcement: Pick<BackendServerAnnouncement, "url" | "connections"> | undefined;

    /**
     * Sets the backend server that tasks are sent to; running tasks finish on their existing connections.
     *
     * @param announcement - URL of the backend server and its maximum number of connections
     */
    public configure(announcement: Pick<BackendServerAnnouncement, "url" | "connections">): void {
        if (this.announcement?.url === announcement.url && this.announcement.connections === announcement.connections) {
            return;
        }
        const previousPool = this.pool;
        this.announcement = announcement;
        this.pool = new Pool(announcement.url, {
            connections: announcement.connections,
            // Opens a new connection for each task: a reused one may be reset, or may never deliver a response.
            pipelining: 0,
            connect: { timeout: connectTimeoutMilliseconds },
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        void previousPool?.close();
    }

    /**
     * Sends a task to the backend server and waits for its outcome. The request is sent at most once.
     *
     * @param task - task to run, with its timeout
     * @returns the outcome; `not-delivered` only when the request cannot have reached the backend server
     */
    public async run(task: TaskDispatch): Promise<TaskOutcome> {
        const { pool } = this;
        if (pool === undefined || this.announcement?.url !== task.url) {
            return { kind: "not-delivered", reason: "the backend server has another address now" };
        }
        const signal = AbortSignal.timeout(task.timeoutMilliseconds);
        try {
            const response = await pool.request(createRequest(task, signal));
            return await readOutcome(response);
        }
        catch (error) {
            return describeFailure(error, task);
        }
    }

    /**
     * Closes the connections once all running tasks have ended.
     *
     * @returns a promise that resolves when the connections are closed
     */
    public async close(): Promise<void> {
        await this.pool?.close();
    }
}

function createRequest(task: TaskDispatch, signal: AbortSignal): Dispatcher.RequestOptions {
    const { submission, index, team, service, kind, payload } = task;
    return {
        method: "POST",
        path: tasksPath,
        headers: { "content-type": "application/json", "idempotency-key": `${submission}/${index}` },
        body: JSON.stringify({ submission, index, team, service, kind, payload }),
        // Tells undici that the request must not be repeated.
        idempotent: false,
        signal,
    };
}

async function readOutcome(response: Dispatcher.ResponseData): Promise<TaskOutcome> {
    if (response.statusCode !== successStatus) {
        discardBody(response.body);
        return { kind: "failed", reason: `the backend server answered with status ${response.statusCode}` };
    }
    const output = readOutput(parseJson(await readBody(response.body)));
    return { kind: "succeeded", output };
}

function discardBody(body: Dispatcher.ResponseData["body"]): void {
    // Destroying an unread body emits an error event, which would end the process without a listener.
    body.on("error", () => undefined);
    body.destroy();
}

async function readBody(body: AsyncIterable<Uint8Array>): Promise<Buffer> {
    const chunks: Uint8Array[] = [];
    let bytes = 0;
    for await (const chunk of body) {
        bytes += chunk.length;
        if (bytes > maximumResponseBytes) {
            throw new InvalidResponseError(`the backend server's answer is over ${maximumResponseBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch {
        throw new InvalidResponseError("the backend server's answer is no JSON");
    }
}

function readOutput(response: unknown): JsonValue {
    if (typeof response !== "object" || !response || !("output" in response)) {
        throw new InvalidResponseError("the backend server's answer has no output");
    }
    const limitResult = measureJson(response.output, outputLimits);
    if (limitResult !== "fits") {
        throw new InvalidResponseError(`the backend server's output is ${limitResult.replace("-", " ")}`);
    }
    return response.output as JsonValue;
}

function describeFailure(error: unknown, task: TaskDispatch): TaskOutcome {
    if (error instanceof InvalidResponseError) {
        return { kind: "failed", reason: error.message };
    }
    const code = findErrorCode(error);
    if (code === "ECONNREFUSED") {
        return { kind: "not-delivered", reason: "the backend server refused the connection" };
    }
    if (error instanceof Error && error.name === "TimeoutError") {
        return { kind: "failed", reason: `the task did not end within ${task.timeoutMilliseconds} ms` };
    }
    return { kind: "failed", reason: `the connection to the backend server failed (${code ?? "unknown cause"})` };
}

function findErrorCode(error: unknown): string | undefined {
    return error instanceof Error && "code" in error && typeof error.code === "string" ? error.code : undefined;
}
