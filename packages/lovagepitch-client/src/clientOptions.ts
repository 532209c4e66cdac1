/**
 * Options of the client.
 */

/** Kind of the identity that makes a submission idempotent. */
export type SubmissionIdentityKind =
    /** Ids issued by the entries: lowest latency, and independent of the platform's store. */
    | "issued-ids"
    /** Keys chosen by the caller: one message per job, but each job costs a write to the platform's store. */
    | "caller-keys";

/** Options of the client; times are in milliseconds. */
export interface ClientOptions {
    /** Base addresses of the entries, or of a load balancer in front of them, such as `http://10.0.0.7:8080`. */
    readonly entries: readonly string[];
    readonly identity: SubmissionIdentityKind;
    /** Number of ids that one request asks for when the pool is empty. */
    readonly idBatchSize: number;
    /** Age at which an unused id is discarded; must be well below the deployment's resubmission window. */
    readonly maximumIdAgeMilliseconds: number;
    /**
     * Timeout of one attempt, after which the client retries on another connection. A shorter timeout detects stalled
     * connections sooner, but each expiry costs a message. Follows from the job's deadline when absent.
     */
    readonly attemptTimeoutMilliseconds?: number;
    /** Time added to a job's deadline for the timeout of one attempt. */
    readonly answerMarginMilliseconds: number;
    /** Time added to a job's deadline for all retries, unless `RunJobOptions.timeLimitMilliseconds` is set. */
    readonly resubmissionMarginMilliseconds: number;
    /** Timeout of requests that do not wait for a job's result. */
    readonly requestTimeoutMilliseconds: number;
    readonly firstBackoffMilliseconds: number;
    readonly longestBackoffMilliseconds: number;
}

/** Default options. */
export const defaultClientOptions: Omit<ClientOptions, "entries" | "identity"> = {
    idBatchSize: 8,
    maximumIdAgeMilliseconds: 240_000,
    answerMarginMilliseconds: 1000,
    resubmissionMarginMilliseconds: 15_000,
    requestTimeoutMilliseconds: 2000,
    firstBackoffMilliseconds: 50,
    longestBackoffMilliseconds: 2000,
};

/** Options of one job. */
export interface RunJobOptions {
    /** Idempotency key of the caller, random when absent; used only with `caller-keys`. */
    readonly key?: string;
    /** Time after which the client stops retrying, in milliseconds. */
    readonly timeLimitMilliseconds?: number;
}
