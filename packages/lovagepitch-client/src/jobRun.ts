/**
 * Submits one job and retries until it has a final outcome or reaches its time limit.
 */
import type { JobRequest } from "@lovagepitch/types/job";
import { Backoff } from "./backoff.js";
import type { ClientDependencies } from "./clientDependencies.js";
import { decideNextStep } from "./decideNextStep.js";
import type { TransportOutcome } from "./httpTransport.js";
import type { JobIdentity, JobOutcome, JobResult, ReceivedProblem } from "./jobResult.js";
import { parseAnswer, parseNextSubmission, parseProblem, type TransportResponse } from "./parseResponse.js";
import type { SubmissionPool } from "./submissionPool.js";

/** Problems that the entry's HTTP layer reports before its core receives the job. */
const bodyProblemKinds: ReadonlySet<ReceivedProblem["kind"]> = new Set([
    "malformed-request",
    "body-too-large",
    "too-many-tasks",
]);

/** Identity that a job is submitted under, and who else knows it. */
export interface RunIdentity {
    readonly identity: Exclude<JobIdentity, { readonly kind: "none" }>;
    /** Base address of the entry to try first. */
    readonly entry?: string;
    /** True when only this client knows the identity. */
    readonly isPrivate: boolean;
}

/** The final outcome, or the delay before the next attempt in milliseconds. */
type Step =
    | { readonly kind: "end"; readonly outcome: JobOutcome }
    | { readonly kind: "wait"; readonly milliseconds: number };

/** Submission of one job with its retries. */
export class JobRun {
    private readonly body: string;
    private readonly backoff: Backoff;
    private attempts = 0;
    private consecutiveConnectFailures = 0;
    /** True when an entry may have received an attempt under the current identity and has not refused it. */
    private mayHaveArrived = false;
    /** Refusal of the last attempt under the current identity if it states that no task ran. */
    private notRunProblem: ReceivedProblem | undefined;
    private lastProblem: ReceivedProblem | undefined;
    private lastReason = "could not connect to any entry";

    /**
     * @param dependencies - dependencies shared by the client's classes
     * @param pool - pool that stores the ids of responses for later jobs
     * @param job - the job to submit
     * @param current - identity of the first submission
     * @param giveUpAtMilliseconds - time after which no attempt is made, in milliseconds since the Unix epoch
     */
    public constructor(
        private readonly dependencies: ClientDependencies,
        private readonly pool: SubmissionPool,
        private readonly job: JobRequest,
        private current: RunIdentity,
        private readonly giveUpAtMilliseconds: number,
    ) {
        // Serialised once, so that every attempt carries the same bytes and entries recognise the same job.
        this.body = JSON.stringify(job);
        this.backoff = new Backoff(dependencies.options, dependencies.random);
    }

    /**
     * Submits the job and retries until it has an outcome.
     *
     * @returns the job's outcome and the identity of its last submission
     */
    public async run(): Promise<JobResult> {
        for (;;) {
            const remaining = this.giveUpAtMilliseconds - this.dependencies.clock.nowMilliseconds();
            if (remaining <= 0) {
                return this.createResult(this.createTimeoutOutcome());
            }
            const entry = this.dependencies.entries.choose(this.current.entry);
            const step = await this.handleOutcome(await this.submitOnce(entry, remaining), entry);
            if (step.kind === "end") {
                return this.createResult(step.outcome);
            }
            if (this.dependencies.clock.nowMilliseconds() + step.milliseconds >= this.giveUpAtMilliseconds) {
                return this.createResult(this.createTimeoutOutcome());
            }
            if (step.milliseconds > 0) {
                await this.dependencies.delay.wait(step.milliseconds);
            }
        }
    }

    private async submitOnce(entry: string, remainingMilliseconds: number): Promise<TransportOutcome> {
        const { options, transport, messages } = this.dependencies;
        const { identity } = this.current;
        const attemptTimeoutMilliseconds = options.attemptTimeoutMilliseconds
            ?? this.job.deadlineMilliseconds + options.answerMarginMilliseconds;
        const headers = { "content-type": "application/json" };
        const outcome = await transport.send({
            entry,
            body: this.body,
            timeoutMilliseconds: Math.min(remainingMilliseconds, attemptTimeoutMilliseconds),
            ...(identity.kind === "issued-id"
                ? { method: "PUT", path: `/v1/submissions/${encodeURIComponent(identity.submission)}`, headers }
                : { method: "POST", path: "/v1/jobs", headers: { ...headers, "idempotency-key": identity.key } }),
        });
        if (outcome.kind !== "not-sent") {
            messages.increment(this.attempts === 0 ? "submissions" : "resubmissions");
            this.attempts += 1;
        }
        return outcome;
    }

    private async handleOutcome(outcome: TransportOutcome, entry: string): Promise<Step> {
        if (outcome.kind === "not-sent") {
            return this.handleNotSent(outcome.reason, entry);
        }
        this.consecutiveConnectFailures = 0;
        if (outcome.kind === "no-answer") {
            return this.handleNoAnswer(outcome.reason, entry);
        }
        const submission = this.current.identity.kind === "issued-id" ? this.current.identity.submission : undefined;
        const answer = parseAnswer(outcome, this.job, submission);
        if (answer !== undefined) {
            this.dependencies.entries.recordSuccess(entry);
            this.storeNextSubmissionId(outcome, entry);
            return { kind: "end", outcome: { kind: answer.state, answer } };
        }
        const problem = parseProblem(outcome, this.dependencies.clock.nowMilliseconds());
        if (problem === undefined) {
            return this.handleNoAnswer(
                `${entry} sent status ${outcome.status} without a valid answer to this job`,
                entry,
            );
        }
        this.dependencies.entries.recordSuccess(entry);
        return this.handleProblem(problem, outcome, entry);
    }

    private handleNotSent(reason: string, entry: string): Step {
        this.dependencies.entries.recordFailure(entry);
        this.lastReason = reason;
        this.consecutiveConnectFailures += 1;
        // The other entries are tried without delay; the client backs off after every entry has failed once.
        const hasTriedEveryEntry = this.consecutiveConnectFailures % this.dependencies.entries.size === 0;
        return { kind: "wait", milliseconds: hasTriedEveryEntry ? this.backoff.nextDelayMilliseconds() : 0 };
    }

    private handleNoAnswer(reason: string, entry: string): Step {
        this.dependencies.entries.recordFailure(entry);
        this.lastReason = reason;
        this.mayHaveArrived = true;
        this.notRunProblem = undefined;
        return { kind: "wait", milliseconds: this.backoff.nextDelayMilliseconds() };
    }

    private async handleProblem(
        problem: ReceivedProblem,
        response: TransportResponse,
        entry: string,
    ): Promise<Step> {
        if (this.isRefusalOfBody(problem)) {
            this.storeNextSubmissionId(response, entry);
            return { kind: "end", outcome: { kind: "refused", problem: { ...problem, execution: "not-run" } } };
        }
        const isNotRun = problem.execution === "not-run";
        this.lastProblem = problem;
        this.lastReason = problem.detail;
        this.mayHaveArrived = !isNotRun;
        this.notRunProblem = isNotRun ? problem : undefined;
        switch (decideNextStep(problem, this.current.isPrivate)) {
            case "refuse":
                this.storeNextSubmissionId(response, entry);
                return { kind: "end", outcome: { kind: "refused", problem } };
            case "unknown":
                return { kind: "end", outcome: { kind: "unknown", reason: problem.detail, problem } };
            case "submit-under-next-id":
                return this.changeIdentity(problem, entry);
            case "resubmit":
                // Makes the selector prefer the other entries.
                this.dependencies.entries.recordFailure(entry);
                return {
                    kind: "wait",
                    milliseconds: this.backoff.nextDelayMilliseconds(problem.retryAfterMilliseconds),
                };
        }
    }

    /**
     * Tells whether a refusal of the body means that no task ran. An entry cannot rule out an earlier submission with
     * another body under the same identity; the client can.
     */
    private isRefusalOfBody(problem: ReceivedProblem): boolean {
        return bodyProblemKinds.has(problem.kind) && this.current.isPrivate && !this.mayHaveArrived;
    }

    private async changeIdentity(problem: ReceivedProblem, entry: string): Promise<Step> {
        const waitMilliseconds = this.backoff.nextDelayMilliseconds(problem.retryAfterMilliseconds);
        if (problem.kind !== "stopping") {
            this.setIdentity(String(problem.nextSubmission), entry);
            return { kind: "wait", milliseconds: waitMilliseconds };
        }
        // The state of submissions of a stopped entry must be collected from the agents, so its ids are not used.
        this.pool.removeIdsFromEntry(entry);
        this.dependencies.entries.recordFailure(entry);
        const replacement = await this.pool.takeId(this.giveUpAtMilliseconds);
        if (replacement === undefined) {
            return { kind: "end", outcome: { kind: "refused", problem } };
        }
        this.setIdentity(replacement.submission, replacement.entry);
        return { kind: "wait", milliseconds: 0 };
    }

    private setIdentity(submission: string, entry: string): void {
        this.current = { identity: { kind: "issued-id", submission }, entry, isPrivate: true };
    }

    private storeNextSubmissionId(response: TransportResponse, entry: string): void {
        const submission = parseNextSubmission(response);
        if (submission !== undefined && this.dependencies.options.identity === "issued-ids") {
            this.pool.addId(submission, entry);
        }
    }

    private createTimeoutOutcome(): JobOutcome {
        const problem = this.lastProblem;
        if (!this.mayHaveArrived && this.notRunProblem !== undefined) {
            return { kind: "refused", problem: this.notRunProblem };
        }
        if (!this.mayHaveArrived && this.current.isPrivate) {
            return { kind: "refused", problem: createUnreachableProblem(this.lastReason) };
        }
        return { kind: "unknown", reason: this.lastReason, ...(problem === undefined ? {} : { problem }) };
    }

    private createResult(outcome: JobOutcome): JobResult {
        return { ...outcome, identity: this.current.identity };
    }
}

/**
 * Creates the refusal of a job that could not be sent to any entry.
 *
 * @param reason - cause of the last failure
 * @returns the refusal, with kind `unreachable`
 */
export function createUnreachableProblem(reason: string): ReceivedProblem {
    return {
        kind: "unreachable",
        status: 0,
        detail: `No entry could be reached: ${reason}`,
        remedy: "Check the entries' addresses and that the entries are running.",
        execution: "not-run",
    };
}
