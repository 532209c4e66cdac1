/**
 * Crash of a worker as its agent observed it, exchanged between agents and entries.
 */

/** A run that was on the worker when it crashed. */
export interface CrashedRun {
    readonly job: string;
    /** Position of the task in its job. */
    readonly task: number;
    /** Route of the job; empty when the order came from an entry of an earlier version. */
    readonly route: string;
    /** Time since the agent ordered the start, in milliseconds. */
    readonly ageMilliseconds: number;
}

/**
 * A worker whose process has ended without notice, or seems to, while at least one run was on it. A worker that is only silent
 * may be cut off, so its silence says nothing of what it runs.
 */
export interface WorkerCrash {
    /** Unique to the incarnation of the worker. */
    readonly id: string;
    /** Name of the instance of the worker and its agent. */
    readonly instance: string;
    readonly service: string;
    /**
     * `suspected`: the worker refuses calls, which a cut or a lack of descriptors can cause too. `refuted`: it has answered
     * since. Undefined once it has refused every call until the leases of its runs had expired, or another incarnation has
     * replaced it; records of earlier versions, which do not distinguish these cases, have none either.
     */
    readonly certainty?: "suspected" | "refuted" | undefined;
    /** Time from the crash to the sending of this record, in milliseconds. */
    readonly ageMilliseconds: number;
    readonly runs: readonly CrashedRun[];
}
