/** Entries that keep submissions by the rules, on a network that loses requests and answers. */
import type { ManualClock } from "@lovagepitch/utils/clock";
import { HttpTransport, type TransportOutcome, type TransportRequest } from "../httpTransport.js";
import { sampleJob } from "./scriptedTransport.js";

/** What happens to one request. */
export type NetworkFault = "none" | "unsent" | "lost-request" | "lost-answer" | "silent" | "overloaded" | "unknown-yet";

type SubmissionState = "started" | "refused";

/** One deployment: a submission starts on the first request that is accepted under its identity. */
export class FaultyEntries extends HttpTransport {
    public readonly states = new Map<string, SubmissionState>();
    private issued = 0;
    private position = 0;

    public constructor(private readonly clock: ManualClock, private readonly faults: readonly NetworkFault[]) {
        super();
    }

    public override async send(request: TransportRequest): Promise<TransportOutcome> {
        await Promise.resolve();
        const fault = this.faults[this.position] ?? "none";
        this.position += 1;
        if (fault === "unsent") {
            return { kind: "not-sent", reason: fault };
        }
        if (fault === "lost-request") {
            return { kind: "no-answer", reason: fault };
        }
        const outcome = this.handle(request, fault);
        if (fault === "silent") {
            this.clock.advanceTo(this.clock.nowMilliseconds() + request.timeoutMilliseconds);
        }
        return fault === "lost-answer" || fault === "silent" ? { kind: "no-answer", reason: fault } : outcome;
    }

    public override async close(): Promise<void> {
        await Promise.resolve();
    }

    private handle(request: TransportRequest, fault: NetworkFault): TransportOutcome {
        if (request.path.startsWith("/v1/submissions?")) {
            return respond(201, { submissions: [this.issue()] });
        }
        const identity = request.headers["idempotency-key"] ?? String(request.path.split("/").at(-1));
        const state = this.states.get(identity);
        if (state === "refused" || (state === undefined && fault === "overloaded")) {
            this.states.set(identity, "refused");
            return this.refuse("overloaded", "not-run");
        }
        if (fault === "unknown-yet") {
            return this.refuse("keeper-unreachable", "unknown-yet");
        }
        this.states.set(identity, "started");
        const tasks = sampleJob.tasks.map((task, index) => ({ index, state: "succeeded", output: task.payload }));
        return respond(200, { submission: identity, state: "complete", configurationVersion: 1, tasks });
    }

    private refuse(kind: string, execution: string): TransportOutcome {
        // An id that comes with another refusal than "not-run" must not be used for the same work.
        const body = { type: kind, detail: kind, remedy: "r", execution, nextSubmission: this.issue() };
        return respond(503, body, { "retry-after": "1" });
    }

    private issue(): string {
        this.issued += 1;
        return `s${this.issued}`;
    }
}

function respond(status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): TransportOutcome {
    return { kind: "response", status, headers, body: JSON.stringify(body) };
}
