/**
 * What goes into an agent's core and what comes out of it.
 */
import type { AgentFrame, EntryFrame, RunIdentity, StartOrder } from "../model/frames.js";
import type { LogLine } from "../model/logLine.js";
import type { WorkerReport } from "../model/workerStatus.js";

/** What became of an order to the worker. */
export type OrderOutcome =
    /** The worker has carried it out, or had done so before. */
    | "accepted"
    /** The worker has done nothing, and the run cannot begin any more by this order. */
    | "rejected"
    /** The worker has stopped or ended this run or a later one of the same task. */
    | "superseded"
    /** The worker has seen a higher epoch than that of the order. */
    | "outdated-epoch"
    /** No response: it may have been carried out, or may yet be. */
    | "unknown"
    /** Another life of the worker answered. */
    | "other-incarnation";

/** A run that the worker lists as at work. */
export interface ReportedRun extends RunIdentity {
    /** How much of the task is done, 0 to 100. */
    readonly percent: number;
}

/** A run that the worker lists as ended. */
export interface ReportedRunEnd extends RunIdentity {
    /** Rises by one with each end of one life of the worker. */
    readonly sequence: number;
    readonly end: "succeeded" | "failed" | "stopped" | "lost";
}

/** What a worker answers when it is asked what runs. */
export interface WorkerView {
    /** The worker's steady clock, in milliseconds. */
    readonly workerClock: number;
    readonly running: readonly ReportedRun[];
    readonly ended: readonly ReportedRunEnd[];
}

/** Why there is no view. */
export type ViewFailure =
    | { readonly kind: "unknown" | "other-incarnation" }
    /** The worker has seen a higher epoch; its steady clock, in milliseconds. */
    | { readonly kind: "outdated-epoch"; readonly workerClock: number };

/** Inputs of the agent's core. */
export type AgentInput =
    | { readonly kind: "worker-reported"; readonly report: WorkerReport }
    | { readonly kind: "worker-left"; readonly worker: string }
    | { readonly kind: "view"; readonly call: number; readonly view: WorkerView }
    | {
        readonly kind: "view-failed";
        readonly call: number;
        readonly failure: ViewFailure;
    }
    | {
        readonly kind: "start-answered" | "stop-answered";
        readonly worker: string;
        readonly run: RunIdentity;
        readonly outcome: OrderOutcome;
    }
    | { readonly kind: "connected"; readonly address: string }
    | { readonly kind: "disconnected"; readonly address: string; readonly refused: boolean }
    | { readonly kind: "frame"; readonly address: string; readonly frame: EntryFrame }
    | { readonly kind: "entries-found"; readonly addresses: readonly string[] }
    | { readonly kind: "shut-down" };

/** Outputs of the agent's core. */
export type AgentOutput =
    | {
        readonly kind: "start";
        readonly worker: string;
        readonly order: StartOrder;
        readonly epoch: number;
        /** On the worker's clock; the worker rejects the order after it. */
        readonly latestStart: number;
    }
    | { readonly kind: "stop"; readonly worker: string; readonly run: RunIdentity; readonly epoch: number }
    | {
        readonly kind: "view";
        readonly call: number;
        readonly worker: string;
        readonly epoch: number;
        /** On the worker's clock; undefined leaves the lease as it is. */
        readonly leaseExpiresAt: number | undefined;
        /** Ends up to this one need not be listed again. */
        readonly acknowledgedEndSequence: number;
        /** How long the worker may wait for an end before it answers. */
        readonly waitMilliseconds: number;
    }
    | { readonly kind: "connect"; readonly address: string }
    | { readonly kind: "frame"; readonly address: string; readonly frame: AgentFrame }
    | LogLine
    | { readonly kind: "stopped" };
