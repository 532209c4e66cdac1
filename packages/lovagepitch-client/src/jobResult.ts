/**
 * Results of jobs, as the client returns them.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobAnswer } from "@lovagepitch/types/job";
import type { ProblemExecution, ProblemKind } from "@lovagepitch/types/problem";

/** A refusal, received from an entry or created by the client. */
export interface ReceivedProblem {
    /** `unreachable` is created by the client when it could not connect to any entry. */
    readonly kind: ProblemKind | "unreachable";
    readonly status: number;
    readonly detail: string;
    readonly remedy: string;
    readonly execution: ProblemExecution;
    readonly retryAfterMilliseconds?: number;
    readonly nextSubmission?: SubmissionKey;
}

/** Identity that a job was submitted under. */
export type JobIdentity =
    | { readonly kind: "issued-id"; readonly submission: SubmissionKey }
    | { readonly kind: "caller-key"; readonly key: string }
    /** No entry issued an id, so the job was not submitted. */
    | { readonly kind: "none" };

/** Outcome of a job, as far as the client knows it. */
export type JobOutcome =
    /** Every task succeeded. */
    | { readonly kind: "complete"; readonly answer: JobAnswer }
    /** At least one task did not succeed; the answer has the state of each task. */
    | { readonly kind: "failed"; readonly answer: JobAnswer }
    /** No task of the job ran, and none will run under this identity. */
    | { readonly kind: "refused"; readonly problem: ReceivedProblem }
    /** Tasks of the job may have run; submitting the job again under the same identity is safe. */
    | { readonly kind: "unknown"; readonly reason: string; readonly problem?: ReceivedProblem };

/** Outcome of a job and the identity of its last submission. */
export type JobResult = JobOutcome & { readonly identity: JobIdentity };
