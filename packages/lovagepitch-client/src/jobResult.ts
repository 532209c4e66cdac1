/**
 * What the client tells of a job.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobAnswer } from "@lovagepitch/types/job";
import type { ProblemExecution, ProblemKind } from "@lovagepitch/types/problem";

/** A refusal, as an entry sent it or as the client made it. */
export interface ReceivedProblem {
    /** `unreachable` is the client's own: no entry could be connected to. */
    readonly kind: ProblemKind | "unreachable";
    readonly status: number;
    readonly detail: string;
    readonly remedy: string;
    readonly execution: ProblemExecution;
    readonly retryAfterMilliseconds?: number;
    readonly nextSubmission?: SubmissionKey;
}

/** What a job was submitted under. */
export type JobIdentity =
    | { readonly kind: "issued-id"; readonly submission: SubmissionKey }
    | { readonly kind: "caller-key"; readonly key: string }
    /** No id could be had, so nothing was submitted. */
    | { readonly kind: "none" };

/** How a job ended, as far as the client knows. */
export type JobOutcome =
    /** Every task succeeded. */
    | { readonly kind: "complete"; readonly answer: JobAnswer }
    /** The answer says for each task whether it ran. */
    | { readonly kind: "failed"; readonly answer: JobAnswer }
    /** Nothing of the job ran, and nothing will under this identity. */
    | { readonly kind: "refused"; readonly problem: ReceivedProblem }
    /** The job may have run; submitting it again under the same identity is safe. */
    | { readonly kind: "unknown"; readonly reason: string; readonly problem?: ReceivedProblem };

/** A job's outcome, and what it was submitted under last. */
export type JobResult = JobOutcome & { readonly identity: JobIdentity };
