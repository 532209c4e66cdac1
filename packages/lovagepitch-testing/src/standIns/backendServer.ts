/**
 * Stand-in for a backend server: runs tasks for as long as their payload says and keeps a record of every start.
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

/** What a stand-in is made from. */
export interface BackendServerOptions {
    /** Port to listen at on the loopback address; 0 takes a free one. */
    readonly port: number;
    /** Base address of the agent's local port. */
    readonly agentUrl: string;
    readonly worker: string;
    readonly availabilityZone: string;
    readonly slots: number;
    readonly connections: number;
    readonly services: readonly string[];
}

/** A start and its end, as `GET /starts` lists them. */
export interface RecordedStart {
    readonly start: TaskStart;
    readonly end?: TaskEnd;
}

/** A task as the agent posts it. */
interface PostedTask {
    readonly submission: string;
    readonly index: number;
    readonly team: string;
    readonly service: string;
    readonly kind: string;
    readonly payload: JsonValue;
}

/** Serves `POST /v1/tasks`, `GET /starts`, `PUT /control` and `POST /leave`. */
export class BackendServer {
    private readonly recordedStarts: RecordedStart[] = [];
    private readonly client = new Agent({ headersTimeout: announcementTimeoutMilliseconds });
    private server: Server | undefined;
    private announcement: NodeJS.Timeout | undefined;
    private failsEverything = false;
    private runningTasks = 0;

    /**
     * @param options - where it listens and what it offers
     */
    public constructor(private readonly options: BackendServerOptions) {}

    /** Base address, once it listens. */
    public get url(): string {
        const { port } = this.server?.address() as AddressInfo;
        return `http://${loopback}:${port}`;
    }

    /**
     * Listens, and announces itself until it leaves.
     *
     * @returns when it listens
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
        this.announcement = setInterval(() => void this.announce(), announcementIntervalMilliseconds);
        await this.announce();
    }

    /**
     * Tells the agent that the server is leaving; running tasks go on.
     *
     * @returns when the agent was told
     */
    public async leave(): Promise<void> {
        clearInterval(this.announcement);
        await this.callAgent("DELETE");
    }

    /**
     * Leaves, lets running tasks end, and closes.
     *
     * @returns when it is closed
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
        const offer: BackendServerAnnouncement = { url: this.url, slots, connections, services };
        await this.callAgent("PUT", offer);
    }

    private async callAgent(method: "PUT" | "DELETE", offer?: BackendServerAnnouncement): Promise<void> {
        try {
            const body = offer === undefined ? undefined : JSON.stringify(offer);
            const headers = { "content-type": "application/json" };
            const url = `${this.options.agentUrl}/v1/backend-server`;
            const response = await request(url, { method, headers, body, dispatcher: this.client });
            await response.body.dump();
        }
        catch {
            // The agent may be down or starting; the next announcement tries again.
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
