/**
 * What a test or a measurement may watch in a deployment.
 */
import type { Decision } from "@lovagepitch/types/decision";
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { PeerBatch } from "@lovagepitch/types/peerMessage";
import type { TaskEnd, TaskStart } from "../checker/startRecord.js";
import type { PendingRequest } from "./pendingRequest.js";

/** Hooks; a watcher gives those it needs. */
export interface DeploymentObserver {
    /** A task reached its backend server. */
    readonly taskStarted?: (start: TaskStart) => void;
    /** A task ended at its backend server. */
    readonly taskEnded?: (start: TaskStart, end: TaskEnd) => void;
    /** A process sent a batch to an address. */
    readonly batchSent?: (destination: PeerAddress, batch: PeerBatch) => void;
    /** A batch reached a process, before its next tick. */
    readonly batchArrived?: (destination: PeerAddress, batch: PeerBatch) => void;
    /** A caller's request reached its entry, before the entry's next tick. */
    readonly requestArrived?: (request: PendingRequest) => void;
    /** An entry answered a request; the answer is on its way. */
    readonly answerSent?: (request: PendingRequest) => void;
    /** A caller's request ended. */
    readonly requestEnded?: (request: PendingRequest) => void;
    /** A request to the platform left a process. */
    readonly platformRequestSent?: (operation: string) => void;
    /** The core of a process, named by address and incarnation, decided something. */
    readonly decisionMade?: (process: string, decision: Decision) => void;
}
