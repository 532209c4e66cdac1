/** Entries with correct idempotency, behind a network that loses requests and responses. */
import type { ManualClock } from "@lovagepitch/utils/clock";
import { HttpTransport, type TransportOutcome, type TransportRequest } from "../httpTransport.js";
import { sampleJob } from "./scriptedTransport.js";

/** Fault injected into one request. */
export type NetworkFault = "none" | "unsent" | "lost-request" | "lost-answer" | "silent" | "overloaded" | "unknown-yet";

type SubmissionState = "started" | "refused";

/** A deployment in which a submission starts on the first request accepted under its identity. */
export class FaultyEntries extends HttpTransport {
    public readonly states = new Map<string, SubmissionState>();
    private issuedIdCount = 0;
    private requestCount = 0;

    public constructor(private readonly clock: ManualClock, private readonly faults: readonly NetworkFault[]) {
        super();
    }

    public override async send(request: TransportRequest): Promise<TransportOutcome> {
        await Promise.resolve();
        const fault = this.faults[this.requestCount] ?? "none";
        this.requestCount += 1;
        if (fault === "unsent") {
            return { kind: "not-sent", reason: fault };
        }
        if (fault === "lost-request") {
            return { kind: "no-answer", reason: fault };
        }
        const outcome = this.handleRequest(request, fault);
        if (fault === "silent") {
            this.clock.advanceTo(this.clock.nowMilliseconds() + request.timeoutMilliseconds);
        }
        return fault === "lost-answer" || fault === "silent" ? { kind: "no-answer", reason: fault } : outcome;
    }

    public override async close(): Promise<void> {
        await Promise.resolve();
    }

    private handleRequest(request: TransportRequest, fault: NetworkFault): TransportOutcome {
        if (request.path.startsWith("/v1/submissions?")) {
            return createResponse(201, { submissions: [this.issueId()] });
        }
        const identity = request.headers["idempotency-key"] ?? String(request.path.split("/").at(-1));
        const state = this.states.get(identity);
        if (state === "refused" || (state === undefined && fault === "overloaded")) {
            this.states.set(identity, "refused");
            return this.createRefusal("overloaded", "not-run");
        }
        if (fault === "unknown-yet") {
            return this.createRefusal("keeper-unreachable", "unknown-yet");
        }
        this.states.set(identity, "started");
        const tasks = sampleJob.tasks.map((task, index) => ({ index, state: "succeeded", output: task.payload }));
        return createResponse(200, { submission: identity, state: "complete", configurationVersion: 1, tasks });
    }

    private createRefusal(kind: string, execution: string): TransportOutcome {
        // The client must not submit the same job under this id unless the refusal states "not-run".
        const body = { type: kind, detail: kind, remedy: "r", execution, nextSubmission: this.issueId() };
        return createResponse(503, body, { "retry-after": "1" });
    }

    private issueId(): string {
        this.issuedIdCount += 1;
        return `s${this.issuedIdCount}`;
    }
}

function createResponse(
    status: number,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
): TransportOutcome {
    return { kind: "response", status, headers, body: JSON.stringify(body) };
}
