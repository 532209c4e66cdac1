/**
 * A caller that comes back until its job has a final result, as the client package does.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { SubmissionResult } from "@lovagepitch/types/peerMessage";
import type { Problem } from "@lovagepitch/types/problem";
import type { InProcessDeployment } from "./inProcessDeployment.js";
import type { PendingRequest } from "./pendingRequest.js";

const pauseMilliseconds = 50;
const mostSubmissions = 5;
/** Lowest HTTP status that blames the server. */
const firstServerError = 500;

/** How a caller submits. */
export interface RetryingCallerOptions {
    readonly job: JobRequest;
    /** The caller's own key; an issued id is used when it is undefined. */
    readonly key: string | undefined;
    /** Position of the entry that gets the first attempt. */
    readonly firstEntry: number;
    /** Time without an answer after which the caller tries another entry, in milliseconds. */
    readonly attemptTimeoutMilliseconds: number;
}

/** Submits one job, and resubmits it at the next entry whenever it learns nothing. */
export class RetryingCaller {
    /** The id that the present attempts are made under. */
    public submission: SubmissionKey | undefined;
    /** The final result, once there is one. */
    public result: SubmissionResult | undefined;
    /** The attempt that waits, or the last one. */
    public request: PendingRequest | undefined;
    private entryIndex: number;
    private submissions = 0;
    private attempts = 0;

    /**
     * @param deployment - where to submit
     * @param options - what to submit and how
     */
    public constructor(
        private readonly deployment: InProcessDeployment,
        private readonly options: RetryingCallerOptions,
    ) {
        this.entryIndex = options.firstEntry;
    }

    /** The job. */
    public get job(): JobRequest {
        return this.options.job;
    }

    /** Makes the first attempt. */
    public start(): void {
        this.attempt();
    }

    /**
     * Gets an id, and submits nothing yet.
     */
    public requestSubmissionId(): void {
        this.attempts += 1;
        const attempt = this.attempts;
        const tryNext = (): void => {
            if (attempt === this.attempts && this.submission === undefined) {
                this.moveOn();
                this.later(pauseMilliseconds, () => this.attempt());
            }
        };
        this.deployment.callers.requestSubmissionId(this.entryIndex, submission => {
            this.submission ??= submission;
        }, tryNext);
        this.later(this.options.attemptTimeoutMilliseconds, tryNext);
    }

    private attempt(): void {
        const { job, key, attemptTimeoutMilliseconds: patienceMilliseconds } = this.options;
        if (key === undefined && this.submission === undefined) {
            this.requestSubmissionId();
            this.whenIssued();
            return;
        }
        const { callers } = this.deployment;
        const request = key === undefined
            ? callers.submit(this.entryIndex, job, this.submission)
            : callers.submitWithKey(this.entryIndex, job, key);
        this.request = request;
        request.onEnd = () => this.ended(request);
        this.later(patienceMilliseconds, () => callers.giveUp(request));
    }

    private whenIssued(): void {
        const attempt = this.attempts;
        this.later(1, () => {
            if (attempt !== this.attempts) {
                return;
            }
            if (this.submission === undefined) {
                this.whenIssued();
            }
            else {
                this.attempt();
            }
        });
    }

    private ended(request: PendingRequest): void {
        const { end } = request;
        if (end?.kind === "answered") {
            this.submission = request.submission ?? this.submission;
            this.read(end.result);
            return;
        }
        this.moveOn();
        this.later(pauseMilliseconds, () => this.attempt());
    }

    private read(result: SubmissionResult): void {
        if (result.kind !== "problem") {
            this.result = result;
            return;
        }
        const { problem } = result;
        const isRefusedForGood = problem.status < firstServerError && problem.retryAfterMilliseconds === undefined;
        if (problem.execution === "unknown-yet" && !isRefusedForGood) {
            this.moveOn();
            this.later(problem.retryAfterMilliseconds ?? pauseMilliseconds, () => this.attempt());
        }
        else if (this.maySubmitAnew(problem)) {
            this.submissions += 1;
            this.submission = undefined;
            this.moveOn();
            this.later(problem.retryAfterMilliseconds ?? pauseMilliseconds, () => this.attempt());
        }
        else {
            this.result = result;
        }
    }

    private maySubmitAnew(problem: Problem): boolean {
        const isTemporary = problem.retryAfterMilliseconds !== undefined || problem.kind === "stopping";
        const usesId = this.options.key === undefined;
        return usesId && problem.execution === "not-run" && isTemporary && this.submissions < mostSubmissions;
    }

    private moveOn(): void {
        this.entryIndex = (this.entryIndex + 1) % this.deployment.entries.length;
    }

    private later(milliseconds: number, action: () => void): void {
        const at = this.deployment.clock.nowMilliseconds() + milliseconds;
        this.deployment.queue.schedule(at, action, undefined);
    }
}
