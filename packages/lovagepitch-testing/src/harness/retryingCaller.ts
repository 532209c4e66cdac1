/**
 * Caller that retries until its job has a final result, as the client package does.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { SubmissionResult } from "@lovagepitch/types/peerMessage";
import type { Problem } from "@lovagepitch/types/problem";
import type { InProcessDeployment } from "./inProcessDeployment.js";
import type { PendingRequest } from "./pendingRequest.js";

const retryDelayMilliseconds = 50;
const maximumNewSubmissions = 5;
/** Lowest HTTP status of a server error. */
const firstServerErrorStatus = 500;

/** Options of a retrying caller. */
export interface RetryingCallerOptions {
    readonly job: JobRequest;
    /** Idempotency key of the caller; if undefined, the caller uses an issued submission id. */
    readonly key: string | undefined;
    /** Index of the entry that the first attempt is sent to. */
    readonly firstEntry: number;
    /** Time without an answer after which the caller tries the next entry, in milliseconds. */
    readonly attemptTimeoutMilliseconds: number;
}

/** Submits a job and resubmits it at the next entry until an attempt returns a final result. */
export class RetryingCaller {
    /** Submission id of the current attempts. */
    public submission: SubmissionKey | undefined;
    /** The final result; undefined until there is one. */
    public result: SubmissionResult | undefined;
    /** Request of the latest attempt. */
    public request: PendingRequest | undefined;
    private entryIndex: number;
    private newSubmissions = 0;
    private attempts = 0;

    /**
     * @param deployment - deployment that the job is submitted to
     * @param options - job, key, first entry and timeout
     */
    public constructor(
        private readonly deployment: InProcessDeployment,
        private readonly options: RetryingCallerOptions,
    ) {
        this.entryIndex = options.firstEntry;
    }

    /** The job that the caller submits. */
    public get job(): JobRequest {
        return this.options.job;
    }

    /** Makes the first attempt. */
    public start(): void {
        this.startAttempt();
    }

    /**
     * Requests a submission id without submitting the job yet; a failed request is followed by a full attempt.
     */
    public requestSubmissionId(): void {
        this.attempts += 1;
        const attempt = this.attempts;
        const tryNext = (): void => {
            if (attempt === this.attempts && this.submission === undefined) {
                this.selectNextEntry();
                this.schedule(retryDelayMilliseconds, () => this.startAttempt());
            }
        };
        this.deployment.callers.requestSubmissionId(this.entryIndex, submission => {
            this.submission ??= submission;
        }, tryNext);
        this.schedule(this.options.attemptTimeoutMilliseconds, tryNext);
    }

    private startAttempt(): void {
        const { job, key, attemptTimeoutMilliseconds } = this.options;
        if (key === undefined && this.submission === undefined) {
            this.requestSubmissionId();
            this.waitForId();
            return;
        }
        const { callers } = this.deployment;
        const request = key === undefined
            ? callers.submit(this.entryIndex, job, this.submission)
            : callers.submitWithKey(this.entryIndex, job, key);
        this.request = request;
        request.onEnd = () => this.handleEnd(request);
        this.schedule(attemptTimeoutMilliseconds, () => callers.abandonRequest(request));
    }

    private waitForId(): void {
        const attempt = this.attempts;
        this.schedule(1, () => {
            if (attempt !== this.attempts) {
                return;
            }
            if (this.submission === undefined) {
                this.waitForId();
            }
            else {
                this.startAttempt();
            }
        });
    }

    private handleEnd(request: PendingRequest): void {
        const { end } = request;
        if (end?.kind === "answered") {
            this.submission = request.submission ?? this.submission;
            this.handleResult(end.result);
            return;
        }
        this.selectNextEntry();
        this.schedule(retryDelayMilliseconds, () => this.startAttempt());
    }

    private handleResult(result: SubmissionResult): void {
        if (result.kind !== "problem") {
            this.result = result;
            return;
        }
        const { problem } = result;
        const isPermanentRefusal = problem.status < firstServerErrorStatus
            && problem.retryAfterMilliseconds === undefined;
        if (problem.execution === "unknown-yet" && !isPermanentRefusal) {
            this.selectNextEntry();
            this.schedule(problem.retryAfterMilliseconds ?? retryDelayMilliseconds, () => this.startAttempt());
        }
        else if (this.canSubmitAgain(problem)) {
            this.newSubmissions += 1;
            this.submission = undefined;
            this.selectNextEntry();
            this.schedule(problem.retryAfterMilliseconds ?? retryDelayMilliseconds, () => this.startAttempt());
        }
        else {
            this.result = result;
        }
    }

    private canSubmitAgain(problem: Problem): boolean {
        const isTemporary = problem.retryAfterMilliseconds !== undefined || problem.kind === "stopping";
        const usesIssuedId = this.options.key === undefined;
        return usesIssuedId && problem.execution === "not-run" && isTemporary
            && this.newSubmissions < maximumNewSubmissions;
    }

    private selectNextEntry(): void {
        this.entryIndex = (this.entryIndex + 1) % this.deployment.entries.length;
    }

    private schedule(milliseconds: number, action: () => void): void {
        const at = this.deployment.clock.nowMilliseconds() + milliseconds;
        this.deployment.queue.schedule(at, action, undefined);
    }
}
