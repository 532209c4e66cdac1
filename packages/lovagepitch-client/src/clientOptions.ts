/**
 * Options of the client.
 */

/** How the client makes its submissions idempotent. */
export type SubmissionIdentityKind =
    /** Ids issued by the entries: fastest, and independent of the platform's store. */
    | "issued-ids"
    /** Keys of the caller: one message a job, at the cost of a write to the platform's store. */
    | "caller-keys";

/** Options of the client; times are in milliseconds. */
export interface ClientOptions {
    /** Base addresses of entries, or of the balancer before them, such as `http://10.0.0.7:8080`. */
    readonly entries: readonly string[];
    readonly identity: SubmissionIdentityKind;
    /** Ids asked for at once when none is left. */
    readonly idBatchSize: number;
    /** Age at which an unused id is dropped; well under the deployment's resubmission window. */
    readonly maximumIdAgeMilliseconds: number;
    /**
     * Time after which an attempt without an answer is given up and repeated on another connection. A shorter time
     * finds silent connections sooner and costs a message each time that it passes; the job's deadline when absent.
     */
    readonly attemptTimeoutMilliseconds?: number;
    /** Time beyond a job's deadline within which its answer has to arrive at one attempt. */
    readonly answerMarginMilliseconds: number;
    /** Time beyond a job's deadline that resubmissions may take, unless the job names a limit of its own. */
    readonly resubmissionMarginMilliseconds: number;
    /** Time for a request that does not wait for a job. */
    readonly requestTimeoutMilliseconds: number;
    readonly firstBackoffMilliseconds: number;
    readonly longestBackoffMilliseconds: number;
}

/** Options that most callers leave as they are. */
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
    /** The caller's key; a random one when absent. Used with `caller-keys` only. */
    readonly key?: string;
    /** Time after which the client gives up, in milliseconds. */
    readonly timeLimitMilliseconds?: number;
}
