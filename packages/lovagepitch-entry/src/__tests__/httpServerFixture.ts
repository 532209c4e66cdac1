/**
 * HTTP server with a scripted core.
 */
import { validateJob } from "@lovagepitch/configuration/validateJob";
import { createLinkCounters } from "@lovagepitch/links/linkCounters";
import type { Decision } from "@lovagepitch/types/decision";
import { EventLog } from "@lovagepitch/utils/logger";
import { connect } from "node:net";
import type { EntryStatus } from "../core/entryCore.js";
import type { EntryInput } from "../core/entryInput.js";
import type { EntryResponse } from "../core/entryOutput.js";
import { CallerRoutes } from "../http/callerRoutes.js";
import { CallerServer } from "../http/callerServer.js";
import { EntryMetrics } from "../http/entryMetrics.js";
import { type MissingCondition, OperatorRoutes } from "../http/operatorRoutes.js";
import { PendingRequests } from "../http/pendingRequests.js";

/** Largest body in the tests, in bytes. */
export const maximumBodyBytes = 4_000;

const status: EntryStatus = {
    configurationVersion: 12,
    registryVersion: 3,
    agents: 4,
    unknownAgents: 0,
    knownSlots: 32,
    waitingTasks: 5,
    runningTasks: 6,
    starts: 7,
    wastedMessages: 8,
    refusals: new Map([["quota-exceeded", 9]]),
};

/** Records log messages in memory. */
export class MemoryEventLog extends EventLog {
    /** Kinds of decisions, and events as "level: message", in order. */
    public readonly messages: string[] = [];

    /** {@inheritDoc EventLog.logDecision} */
    public override logDecision(decision: Decision): void {
        this.messages.push(decision.decision);
    }

    /** {@inheritDoc EventLog.logEvent} */
    public override logEvent(level: "debug" | "info" | "warn" | "error", message: string): void {
        this.messages.push(`${level}: ${message}`);
    }
}

/** An HTTP response with its parsed body. */
export interface ReadResponse {
    readonly status: number;
    readonly headers: Headers;
    readonly document: Readonly<Record<string, unknown>>;
}

/** HTTP server and scripted core of one scenario. */
export class HttpServerFixture {
    /** Inputs that reached the core, in order. */
    public readonly inputs: EntryInput[] = [];
    /** Response of the core to every request; the core does not respond while it is undefined. */
    public scriptedResponse: EntryResponse | undefined;
    /** Whether the core throws an error for every input. */
    public isFailing = false;
    /** Conditions of readiness that are not met. */
    public missingConditions: readonly MissingCondition[] = [];
    /** Recorded log messages. */
    public readonly eventLog = new MemoryEventLog();
    /** The server under test. */
    public readonly server: CallerServer;
    /** Port of the server; 0 before `listen`. */
    public port = 0;

    private readonly pendingRequests: PendingRequests;

    /**
     * @param maximumRequests - maximum number of requests that wait for the core
     */
    public constructor(maximumRequests = 1_000) {
        this.pendingRequests = new PendingRequests(input => this.accept(input), maximumRequests);
        const metrics = new EntryMetrics({
            getStatus: () => status,
            getLinkCounters: createLinkCounters,
            isStoreHealthy: () => false,
            countWaitingRequests: () => this.pendingRequests.size,
        });
        this.server = new CallerServer({
            eventLog: this.eventLog,
            callerRoutes: new CallerRoutes({
                pendingRequests: this.pendingRequests,
                validateJob,
                maximumBodyBytes,
                countRefusal: kind => metrics.countRequestRefusal(kind),
            }),
            operatorRoutes: new OperatorRoutes({
                incarnation: "00ff",
                getStatus: () => status,
                listMissingConditions: () => this.missingConditions,
                isStoreHealthy: () => false,
                metrics,
            }),
        });
    }

    /** Binds a free port. */
    public async listen(): Promise<void> {
        this.port = (await this.server.listen("127.0.0.1", 0)).unwrap();
    }

    /** Delivers a late response of the core. */
    public resolve(request: number, response: EntryResponse): void {
        this.pendingRequests.resolve(request, response);
    }

    /** Sends a request and reads the whole response. */
    public async call(
        method: string,
        path: string,
        body?: string | Uint8Array<ArrayBuffer>,
        headers: Readonly<Record<string, string>> = {},
    ): Promise<ReadResponse> {
        const response = await fetch(`http://127.0.0.1:${this.port}${path}`, { method, body, headers });
        const text = await response.text();
        const isJson = response.headers.get("content-type")?.includes("json") ?? false;
        const document = isJson ? JSON.parse(text) as ReadResponse["document"] : { text };
        return { status: response.status, headers: response.headers, document };
    }

    /** Sends bytes on a new connection and reads the response until the connection closes. */
    public sendBytes(bytes: string | Buffer): Promise<string> {
        return new Promise(resolve => {
            const socket = connect(this.port, "127.0.0.1", () => socket.write(bytes));
            let received = "";
            socket.on("data", data => {
                received += data.toString("latin1");
            });
            socket.on("error", () => undefined);
            socket.on("close", () => resolve(received));
        });
    }

    /** Closes the server and its connections. */
    public async close(): Promise<void> {
        const closed = this.server.close();
        this.server.closeConnections();
        await closed;
    }

    private accept(input: EntryInput): void {
        if (this.isFailing) {
            throw new Error("error thrown by the scripted core");
        }
        this.inputs.push(input);
        const { scriptedResponse } = this;
        if ("request" in input && input.type !== "requestClosed" && scriptedResponse !== undefined) {
            setImmediate(() => this.pendingRequests.resolve(input.request, scriptedResponse));
        }
    }
}

/** Creates a valid job. */
export function createJob(tasks = 1): Readonly<Record<string, unknown>> {
    return {
        team: "treasury",
        service: "settlement",
        kind: "netting",
        deadlineMilliseconds: 5_000,
        tasks: Array.from({ length: tasks }, (_item, index) => ({
            payload: index,
            cores: 1,
            memoryMegabytes: 64,
            expectedMilliseconds: 100,
        })),
    };
}
