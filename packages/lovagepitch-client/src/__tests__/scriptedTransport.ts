/** Transport with scripted responses and a manual clock. */
import type { JobRequest } from "@lovagepitch/types/job";
import type { ManualClock } from "@lovagepitch/utils/clock";
import { Delay } from "../delay.js";
import { HttpTransport, type TransportOutcome, type TransportRequest } from "../httpTransport.js";

export const sampleJob: JobRequest = {
    team: "red",
    service: "library",
    kind: "search",
    deadlineMilliseconds: 1000,
    idempotent: false,
    tasks: [
        { payload: 1, cores: 1, memoryMegabytes: 1, expectedMilliseconds: 100 },
        { payload: 2, cores: 1, memoryMegabytes: 1, expectedMilliseconds: 100 },
    ],
};

/** Advances the manual clock instead of waiting. */
export class ManualDelay extends Delay {
    public readonly waits: number[] = [];

    public constructor(private readonly clock: ManualClock) {
        super();
    }

    public override async wait(milliseconds: number): Promise<void> {
        await Promise.resolve();
        this.waits.push(milliseconds);
        this.clock.advanceTo(this.clock.nowMilliseconds() + milliseconds);
    }
}

/** Responds to each request with the next step of the script; the last step is repeated. */
export class ScriptedTransport extends HttpTransport {
    public readonly requests: TransportRequest[] = [];
    private issuedIdCount = 0;

    public constructor(private readonly clock: ManualClock, private readonly script: readonly string[]) {
        super();
    }

    public override async send(request: TransportRequest): Promise<TransportOutcome> {
        await Promise.resolve();
        const scriptStep = this.script[Math.min(this.requests.length, this.script.length - 1)] ?? "";
        this.requests.push(request);
        return this.runScriptStep(scriptStep, request);
    }

    public override async close(): Promise<void> {
        await Promise.resolve();
    }

    private runScriptStep(scriptStep: string, request: TransportRequest): TransportOutcome {
        const [name = "", ...options] = scriptStep.split(" ");
        switch (name) {
            case "ids":
                return this.createResponse(201, { submissions: this.issueIds(Number(options[0])) });
            case "unsent":
                return { kind: "not-sent", reason: "connection refused" };
            case "cut":
                return { kind: "no-answer", reason: "connection cut" };
            case "silent":
                this.clock.advanceTo(this.clock.nowMilliseconds() + request.timeoutMilliseconds);
                return { kind: "no-answer", reason: "timeout" };
            case "balancer":
                return { kind: "response", status: 502, headers: {}, body: "<html>" };
            case "complete":
            case "failed":
            case "partial":
            case "strange":
                return this.createResponse(200, createAnswer(name, request), options);
            default:
                return this.createResponse(Number(name), createProblem(options), options);
        }
    }

    private createResponse(status: number, body: unknown, options: readonly string[] = []): TransportOutcome {
        const headers: Record<string, string> = {};
        const retryAfter = options.find(option => option.startsWith("after="));
        if (retryAfter !== undefined) {
            headers["retry-after"] = retryAfter.slice("after=".length);
        }
        if (options.includes("next")) {
            headers["lovagepitch-next-submission"] = String(this.issueIds(1)[0]);
        }
        return { kind: "response", status, headers, body: JSON.stringify(body) };
    }

    private issueIds(count: number): readonly string[] {
        return Array.from({ length: count }, () => {
            this.issuedIdCount += 1;
            return `s${this.issuedIdCount}`;
        });
    }
}

function createProblem(options: readonly string[]): unknown {
    const [kind, execution] = options;
    return { type: `urn:lovagepitch:problem:${kind}`, title: "t", detail: "d", remedy: "r", execution };
}

function createAnswer(name: string, request: TransportRequest): unknown {
    const submission = name === "strange" ? "another" : request.path.split("/").at(-1);
    const state = name === "failed" ? "failed" : "complete";
    const tasks = sampleJob.tasks.map((task, index) => ({
        index,
        state: name === "failed" ? "may-have-run" : "succeeded",
        ...(name === "failed" ? {} : { output: task.payload }),
    }));
    return { submission, state, configurationVersion: 1, tasks: name === "partial" ? tasks.slice(1) : tasks };
}

/** Formats the identity and the entry of each request for comparison. */
export function describeRequests(requests: readonly TransportRequest[]): string {
    return requests.map(request => {
        const entry = request.entry.at(-1);
        if (request.path.startsWith("/v1/submissions?")) {
            return `ids ${entry}`;
        }
        const key = request.headers["idempotency-key"];
        return key === undefined ? `${request.path.split("/").at(-1)} ${entry}` : `key ${entry}`;
    }).join(", ");
}
