/**
 * The submissions of one job, until it has an answer or its time is up.
 */
import type { JobRequest } from "@lovagepitch/types/job";
import { Backoff } from "./backoff.js";
import type { ClientParts } from "./clientParts.js";
import { decideNextStep } from "./decideNextStep.js";
import type { TransportOutcome } from "./httpTransport.js";
import type { JobIdentity, JobOutcome, JobResult, ReceivedProblem } from "./jobResult.js";
import { parseAnswer, parseNextSubmission, parseProblem, type TransportResponse } from "./parseResponse.js";
import type { SubmissionPool } from "./submissionPool.js";

/** Refusals of a body that no core has seen. */
const bodyRefusals: ReadonlySet<ReceivedProblem["kind"]> = new Set([
    "malformed-request",
    "body-too-large",
    "too-many-tasks",
]);

/** What a job is submitted under. */
export interface RunIdentity {
    readonly identity: Exclude<JobIdentity, { readonly kind: "none" }>;
    /** The entry that is asked first. */
    readonly entry?: string;
    /** No one else knows the identity. */
    readonly isPrivate: boolean;
}

/** Either the end, or the time to wait before the next attempt, in milliseconds. */
type Step =
    | { readonly kind: "end"; readonly outcome: JobOutcome }
    | { readonly kind: "wait"; readonly milliseconds: number };

/** One job's run. */
export class JobRun {
    private readonly body: string;
    private readonly backoff: Backoff;
    private attempts = 0;
    private consecutiveUnsent = 0;
    /** An attempt under the present identity may have arrived and is not known to have been refused. */
    private mayHaveArrived = false;
    /** The refusal that says of the present identity that nothing ran, while nothing was sent after it. */
    private refusal: ReceivedProblem | undefined;
    private lastProblem: ReceivedProblem | undefined;
    private lastReason = "no entry could be connected to";

    /**
     * @param parts - the client's parts
     * @param pool - receives ids that come along with answers
     * @param job - the job
     * @param current - what it is submitted under
     * @param giveUpAtMilliseconds - instant after which no attempt is made, in milliseconds since the epoch
     */
    public constructor(
        private readonly parts: ClientParts,
        private readonly pool: SubmissionPool,
        private readonly job: JobRequest,
        private current: RunIdentity,
        private readonly giveUpAtMilliseconds: number,
    ) {
        // Every attempt carries the same bytes, so that the entries see the same job.
        this.body = JSON.stringify(job);
        this.backoff = new Backoff(parts.options, parts.random);
    }

    /**
     * Submits and resubmits.
     *
     * @returns the job's outcome, and the identity it was submitted under last
     */
    public async run(): Promise<JobResult> {
        for (;;) {
            const remaining = this.giveUpAtMilliseconds - this.parts.clock.nowMilliseconds();
            if (remaining <= 0) {
                return this.end(this.giveUp());
            }
            const entry = this.parts.entries.choose(this.current.entry);
            const step = await this.interpret(await this.submit(entry, remaining), entry);
            if (step.kind === "end") {
                return this.end(step.outcome);
            }
            if (this.parts.clock.nowMilliseconds() + step.milliseconds >= this.giveUpAtMilliseconds) {
                return this.end(this.giveUp());
            }
            if (step.milliseconds > 0) {
                await this.parts.delay.wait(step.milliseconds);
            }
        }
    }

    private async submit(entry: string, remainingMilliseconds: number): Promise<TransportOutcome> {
        const { options, transport, messages } = this.parts;
        const { identity } = this.current;
        const answerTime = options.attemptTimeoutMilliseconds
            ?? this.job.deadlineMilliseconds + options.answerMarginMilliseconds;
        const headers = { "content-type": "application/json" };
        const outcome = await transport.send({
            entry,
            body: this.body,
            timeoutMilliseconds: Math.min(remainingMilliseconds, answerTime),
            ...(identity.kind === "issued-id"
                ? { method: "PUT", path: `/v1/submissions/${encodeURIComponent(identity.submission)}`, headers }
                : { method: "POST", path: "/v1/jobs", headers: { ...headers, "idempotency-key": identity.key } }),
        });
        if (outcome.kind !== "not-sent") {
            messages.add(this.attempts === 0 ? "submissions" : "resubmissions");
            this.attempts += 1;
        }
        return outcome;
    }

    private async interpret(outcome: TransportOutcome, entry: string): Promise<Step> {
        if (outcome.kind === "not-sent") {
            return this.interpretUnsent(outcome.reason, entry);
        }
        this.consecutiveUnsent = 0;
        if (outcome.kind === "no-answer") {
            return this.interpretLost(outcome.reason, entry);
        }
        const submission = this.current.identity.kind === "issued-id" ? this.current.identity.submission : undefined;
        const answer = parseAnswer(outcome, this.job, submission);
        if (answer !== undefined) {
            this.parts.entries.recordSuccess(entry);
            this.carryOver(outcome, entry);
            return { kind: "end", outcome: { kind: answer.state, answer } };
        }
        const problem = parseProblem(outcome, this.parts.clock.nowMilliseconds());
        if (problem === undefined) {
            return this.interpretLost(`${entry} sent status ${outcome.status} without an answer to this job`, entry);
        }
        this.parts.entries.recordSuccess(entry);
        return this.interpretProblem(problem, outcome, entry);
    }

    private interpretUnsent(reason: string, entry: string): Step {
        this.parts.entries.recordFailure(entry);
        this.lastReason = reason;
        this.consecutiveUnsent += 1;
        // The other entries are tried at once; only a whole round of failures is a reason to wait.
        const isRoundOver = this.consecutiveUnsent % this.parts.entries.size === 0;
        return { kind: "wait", milliseconds: isRoundOver ? this.backoff.next() : 0 };
    }

    private interpretLost(reason: string, entry: string): Step {
        this.parts.entries.recordFailure(entry);
        this.lastReason = reason;
        this.mayHaveArrived = true;
        this.refusal = undefined;
        return { kind: "wait", milliseconds: this.backoff.next() };
    }

    private async interpretProblem(
        problem: ReceivedProblem,
        response: TransportResponse,
        entry: string,
    ): Promise<Step> {
        if (this.isRefusalOfBody(problem)) {
            this.carryOver(response, entry);
            return { kind: "end", outcome: { kind: "refused", problem: { ...problem, execution: "not-run" } } };
        }
        const isNotRun = problem.execution === "not-run";
        this.lastProblem = problem;
        this.lastReason = problem.detail;
        this.mayHaveArrived = !isNotRun;
        this.refusal = isNotRun ? problem : undefined;
        switch (decideNextStep(problem, this.current.isPrivate)) {
            case "refuse":
                this.carryOver(response, entry);
                return { kind: "end", outcome: { kind: "refused", problem } };
            case "unknown":
                return { kind: "end", outcome: { kind: "unknown", reason: problem.detail, problem } };
            case "submit-under-next-id":
                return this.changeIdentity(problem, entry);
            case "resubmit":
                // The entry that refused is asked last.
                this.parts.entries.recordFailure(entry);
                return { kind: "wait", milliseconds: this.backoff.next(problem.retryAfterMilliseconds) };
        }
    }

    /** Entries do not know that no other body was ever sent under the identity; the client does. */
    private isRefusalOfBody(problem: ReceivedProblem): boolean {
        return bodyRefusals.has(problem.kind) && this.current.isPrivate && !this.mayHaveArrived;
    }

    private async changeIdentity(problem: ReceivedProblem, entry: string): Promise<Step> {
        const waited = this.backoff.next(problem.retryAfterMilliseconds);
        if (problem.kind !== "stopping") {
            this.setIdentity(String(problem.nextSubmission), entry);
            return { kind: "wait", milliseconds: waited };
        }
        // An id of a process that stops would have to be collected from the agents.
        this.pool.dropIdsOf(entry);
        this.parts.entries.recordFailure(entry);
        const replacement = await this.pool.take(this.giveUpAtMilliseconds);
        if (replacement === undefined) {
            return { kind: "end", outcome: { kind: "refused", problem } };
        }
        this.setIdentity(replacement.submission, replacement.entry);
        return { kind: "wait", milliseconds: 0 };
    }

    private setIdentity(submission: string, entry: string): void {
        this.current = { identity: { kind: "issued-id", submission }, entry, isPrivate: true };
    }

    private carryOver(response: TransportResponse, entry: string): void {
        const submission = parseNextSubmission(response);
        if (submission !== undefined && this.parts.options.identity === "issued-ids") {
            this.pool.add(submission, entry);
        }
    }

    private giveUp(): JobOutcome {
        const problem = this.lastProblem;
        if (!this.mayHaveArrived && this.refusal !== undefined) {
            return { kind: "refused", problem: this.refusal };
        }
        if (!this.mayHaveArrived && this.current.isPrivate) {
            return { kind: "refused", problem: createUnreachable(this.lastReason) };
        }
        return { kind: "unknown", reason: this.lastReason, ...(problem === undefined ? {} : { problem }) };
    }

    private end(outcome: JobOutcome): JobResult {
        return { ...outcome, identity: this.current.identity };
    }
}

/**
 * Makes the refusal of a job that could not be sent to any entry.
 *
 * @param reason - the last failure
 * @returns the refusal
 */
export function createUnreachable(reason: string): ReceivedProblem {
    return {
        kind: "unreachable",
        status: 0,
        detail: `No entry could be reached: ${reason}`,
        remedy: "Check the entries' addresses, and that the entries run.",
        execution: "not-run",
    };
}
