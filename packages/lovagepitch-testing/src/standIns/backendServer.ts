/**
 * Stand-in for a backend server: runs tasks as their payload specifies and records every start.
 */
import type { JsonValue } from "@lovagepitch/types/job";
import type { BackendServerAnnouncement } from "@lovagepitch/types/registry";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import polka from "polka";
import { Agent, request } from "undici";
import type { TaskEnd, TaskStart } from "../checker/startRecord.js";
import { readTaskBehaviour, type TaskBehaviour } from "../harness/fakeBackendServer.js";

const loopback = "127.0.0.1";
const maximumBodyBytes = 4_194_304;
const announcementIntervalMilliseconds = 1000;
const announcementTimeoutMilliseconds = 2000;

/** Options of the stand-in. */
export interface BackendServerOptions {
    /** Port to listen on at the loopback address; 0 selects a free one. */
    readonly port: number;
    /** Base URL of the agent's local port. */
    readonly agentUrl: string;
    readonly worker: string;
    readonly availabilityZone: string;
    readonly slots: number;
    readonly connections: number;
    readonly services: readonly string[];
}

/** A task start and its end, as returned by `GET /starts`. */
export interface RecordedStart {
    readonly start: TaskStart;
    readonly end?: TaskEnd;
}

/** Body of `POST /v1/tasks`, which the agent sends. */
interface PostedTask {
    readonly submission: string;
    readonly index: number;
    readonly team: string;
    readonly service: string;
    readonly kind: string;
    readonly payload: JsonValue;
}

/** HTTP server for `POST /v1/tasks`, `GET /starts`, `PUT /control` and `POST /leave`. */
export class BackendServer {
    private readonly recordedStarts: RecordedStart[] = [];
    private readonly client = new Agent({ headersTimeout: announcementTimeoutMilliseconds });
    private server: Server | undefined;
    private announcementTimer: NodeJS.Timeout | undefined;
    private failsEverything = false;
    private runningTasks = 0;

    /**
     * @param options - port, agent, placement and capacity
     */
    public constructor(private readonly options: BackendServerOptions) {}

    /** Base URL, available after `start`. */
    public get url(): string {
        const { port } = this.server?.address() as AddressInfo;
        return `http://${loopback}:${port}`;
    }

    /**
     * Starts to listen and announces itself to the agent periodically until it leaves.
     *
     * @returns resolves when the server listens and has sent the first announcement
     */
    public async start(): Promise<void> {
        const server = createServer();
        const app = polka({ server });
        app.post("/v1/tasks", (incoming, response) => void this.runTask(incoming, response));
        app.get("/starts", (_incoming, response) => sendJson(response, 200, this.recordedStarts));
        app.put("/control", (incoming, response) => void this.handleControl(incoming, response));
        app.post("/leave", (_incoming, response) => {
            void this.leave().then(() => sendJson(response, 200, {}));
        });
        await new Promise<void>(resolve => {
            server.listen(this.options.port, loopback, resolve);
        });
        server.on("request", (incoming, response) => void app.handler(incoming as never, response));
        this.server = server;
        this.announcementTimer = setInterval(() => void this.announce(), announcementIntervalMilliseconds);
        await this.announce();
    }

    /**
     * Announces to the agent that the server is leaving. Running tasks continue.
     *
     * @returns resolves when the agent has answered or the request has failed
     */
    public async leave(): Promise<void> {
        clearInterval(this.announcementTimer);
        await this.callAgent("DELETE");
    }

    /**
     * Announces that the server is leaving, waits for the running tasks, and closes the server.
     *
     * @returns resolves when the server is closed
     */
    public async stop(): Promise<void> {
        await this.leave();
        while (this.runningTasks > 0) {
            await sleep(announcementIntervalMilliseconds / 10);
        }
        this.server?.closeAllConnections();
        this.server?.close();
        await this.client.close();
    }

    private async announce(): Promise<void> {
        const { slots, connections, services } = this.options;
        const announcement: BackendServerAnnouncement = { url: this.url, slots, connections, services };
        await this.callAgent("PUT", announcement);
    }

    private async callAgent(method: "PUT" | "DELETE", announcement?: BackendServerAnnouncement): Promise<void> {
        try {
            const body = announcement === undefined ? undefined : JSON.stringify(announcement);
            const headers = { "content-type": "application/json" };
            const url = `${this.options.agentUrl}/v1/backend-server`;
            const response = await request(url, { method, headers, body, dispatcher: this.client });
            await response.body.dump();
        }
        catch {
            // The agent may be down or starting; the next announcement retries.
        }
    }

    private async handleControl(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        const settings = await readJson(incoming) as { readonly failsEverything?: boolean };
        this.failsEverything = settings.failsEverything === true;
        sendJson(response, 200, {});
    }

    private async runTask(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        let task: PostedTask;
        try {
            task = await readJson(incoming) as PostedTask;
        }
        catch {
            sendJson(response, 400, { error: "the body is no JSON; send a task" });
            return;
        }
        const behaviour = readTaskBehaviour(task.payload);
        const position = this.recordStart(task, behaviour);
        this.runningTasks += 1;
        if (!this.failsEverything) {
            await sleep(behaviour.milliseconds);
        }
        this.runningTasks -= 1;
        const isFailing = this.failsEverything || behaviour.fail;
        this.recordEnd(position, isFailing ? "failed" : "succeeded");
        if (isFailing) {
            sendJson(response, 500, { error: "the task failed" });
            return;
        }
        const { submission, index } = task;
        sendJson(response, 200, { output: { submission, index, echo: behaviour.echo } });
    }

    private recordStart(task: PostedTask, behaviour: TaskBehaviour): number {
        const { submission, index, team, service, kind } = task;
        const { worker, availabilityZone } = this.options;
        const location = { worker, availabilityZone, startedAtMilliseconds: Date.now() };
        const start = { submission, index, team, service, kind, echo: behaviour.echo, ...location };
        return this.recordedStarts.push({ start }) - 1;
    }

    private recordEnd(position: number, state: TaskEnd["state"]): void {
        const record = this.recordedStarts[position];
        if (record !== undefined) {
            this.recordedStarts[position] = { ...record, end: { state, endedAtMilliseconds: Date.now() } };
        }
    }
}

async function readJson(incoming: IncomingMessage): Promise<unknown> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of incoming) {
        bytes += (chunk as Buffer).length;
        if (bytes > maximumBodyBytes) {
            throw new Error(`the body is larger than ${maximumBodyBytes} bytes; send a smaller one`);
        }
        chunks.push(chunk as Buffer);
    }
    return JSON.parse(Buffer.concat(chunks).toString("utf8"));
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
}
