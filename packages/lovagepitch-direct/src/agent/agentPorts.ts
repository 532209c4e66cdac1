/**
 * Inputs and outputs of an agent's core.
 */
import type { EntryLocation } from "../model/entryLocation.js";
import type { AgentFrame, EntryFrame, StartOrder } from "../model/frames.js";
import type { LogLine } from "../model/logLine.js";
import type { WorkerRegistration, WorkerReport } from "../model/workerStatus.js";

/** Outcome of an order to the worker. */
export type OrderOutcome =
    /** The worker has executed the order, now or on an earlier attempt. */
    | "accepted"
    /** The worker has not executed the order, and this order cannot start the run any more. */
    | "rejected"
    /** This run, or a later run of the same task, has already been stopped or has ended at the worker. */
    | "superseded"
    /** The worker has received a higher epoch than that of the order. */
    | "outdated-epoch"
    /** The order has never left this process. */
    | "not-sent"
    /** No usable response: the order may have been executed, or may still be. */
    | "unknown"
    /**
     * A different incarnation of the worker answered, over a connection that was opened since the agent has known this one. So
     * it is at the worker's address now, and this one has ended.
     */
    | "other-incarnation";

/**
 * A run as the worker knows it. The agent numbers the runs of a task at its worker, whichever entry and submission they
 * belong to, so that no number names two of them.
 */
export interface WorkerRun {
    readonly job: string;
    /** Position of the task in its job. */
    readonly task: number;
    /** Higher than that of every earlier run of the task at the worker which this process of the agent has ordered. */
    readonly run: number;
}

/** A run that the worker reports as running. */
export interface ReportedRun extends WorkerRun {
    /** Completed part of the task, 0 to 100. */
    readonly percent: number;
}

/** A run that the worker reports as ended. */
export interface ReportedRunEnd extends WorkerRun {
    /** Increases by one with each end in one incarnation of the worker. */
    readonly sequence: number;
    readonly end: "succeeded" | "failed" | "stopped" | "lost";
}

/** A worker's list of its running and recently ended runs; the agent polls it. */
export interface WorkerView {
    /** Worker's monotonic clock, in milliseconds. */
    readonly workerClock: number;
    /** Start of the incarnation that answered, in Unix milliseconds; undefined when the worker does not report it. */
    readonly startedAt?: number | undefined;
    readonly running: readonly ReportedRun[];
    readonly ended: readonly ReportedRunEnd[];
    /** True if the worker may have more ends than the view lists; false by default. */
    readonly hasMoreEnds?: boolean;
}

/** Reason for which a view call returned no view. */
export type ViewFailure =
    | {
        readonly kind:
            | "unknown"
            | "other-incarnation"
            /** The worker's instance answered that no process listens at the worker's address. */
            | "refused";
    }
    /** The worker has received a higher epoch; `workerClock` is its monotonic clock, in milliseconds. */
    | {
        readonly kind: "outdated-epoch";
        readonly workerClock: number;
        /** Start of the incarnation that answered, in Unix milliseconds; undefined when the worker does not report it. */
        readonly startedAt?: number | undefined;
    };

/** Input of an agent's core. */
export type AgentInput =
    | { readonly kind: "worker-reported"; readonly report: WorkerReport }
    | { readonly kind: "worker-left"; readonly worker: string; readonly startedAt?: number | undefined }
    /** An earlier process of this agent has recorded the worker; it may have ended since. */
    | { readonly kind: "worker-restored"; readonly registration: WorkerRegistration }
    | { readonly kind: "view"; readonly call: number; readonly view: WorkerView }
    | {
        readonly kind: "view-failed";
        readonly call: number;
        readonly failure: ViewFailure;
    }
    | {
        readonly kind: "start-answered" | "stop-answered";
        /** Life that the order was sent to. */
        readonly life: number;
        readonly run: WorkerRun;
        readonly outcome: OrderOutcome;
        /** When the answer was read, in monotonic milliseconds; by default when it is processed. */
        readonly receivedAt?: number;
    }
    | { readonly kind: "connected"; readonly address: string }
    | { readonly kind: "disconnected"; readonly address: string; readonly wasRefused: boolean }
    | {
        readonly kind: "frame";
        readonly address: string;
        readonly frame: EntryFrame;
        /** When it was read, in monotonic milliseconds; by default when it is processed. */
        readonly receivedAt?: number;
    }
    | { readonly kind: "entries-found"; readonly entries: readonly EntryLocation[] }
    | { readonly kind: "shut-down" };

/** Output of an agent's core. */
export type AgentOutput =
    | {
        readonly kind: "start";
        readonly worker: string;
        /** Life of the worker that the agent knows, returned with the answer. */
        readonly life: number;
        readonly order: StartOrder;
        readonly run: WorkerRun;
        readonly epoch: number;
        /** Instant on the worker's clock after which the worker rejects the order. */
        readonly latestStart: number;
        /** Time after which the order counts as unanswered. */
        readonly timeoutMilliseconds: number;
    }
    | {
        readonly kind: "stop";
        readonly worker: string;
        /** Life of the worker that the agent knows, returned with the answer. */
        readonly life: number;
        readonly run: WorkerRun;
        readonly epoch: number;
        /** Time after which the order counts as unanswered. */
        readonly timeoutMilliseconds: number;
    }
    | {
        readonly kind: "view";
        readonly call: number;
        readonly worker: string;
        /** Life of the worker that the agent knows. */
        readonly life: number;
        readonly epoch: number;
        /** End of the lease on the worker's clock; undefined leaves the lease unchanged. */
        readonly leaseExpiresAt: number | undefined;
        /** Sequence number up to which the worker need not report ended runs again. */
        readonly acknowledgedEndSequence: number;
        /** Longest time that the worker may wait for a run to end before it answers. */
        readonly waitMilliseconds: number;
        /** Time after which the call counts as unanswered, including the wait. */
        readonly timeoutMilliseconds: number;
    }
    | { readonly kind: "connect"; readonly address: string }
    | { readonly kind: "disconnect"; readonly address: string }
    | { readonly kind: "frame"; readonly address: string; readonly frame: AgentFrame }
    /** Worker that a restarted process of this agent may use; undefined once the worker drains. */
    | { readonly kind: "worker-changed"; readonly registration: WorkerRegistration | undefined }
    | LogLine
    | { readonly kind: "stopped" };
