/**
 * Hooks through which a test or a benchmark observes a simulated deployment.
 */
import type { Decision } from "@lovagepitch/types/decision";
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { PeerBatch } from "@lovagepitch/types/peerMessage";
import type { TaskEnd, TaskStart } from "../checker/startRecord.js";
import type { PendingRequest } from "./pendingRequest.js";

/** Callbacks for events of a deployment; all of them are optional. */
export interface DeploymentObserver {
    /** A task started at its backend server. */
    readonly taskStarted?: (start: TaskStart) => void;
    /** A task ended at its backend server. */
    readonly taskEnded?: (start: TaskStart, end: TaskEnd) => void;
    /** A process sent a batch of messages to an address. */
    readonly batchSent?: (destination: PeerAddress, batch: PeerBatch) => void;
    /** A batch reached a process, which has not processed it yet. */
    readonly batchArrived?: (destination: PeerAddress, batch: PeerBatch) => void;
    /** A caller's request reached its entry, which has not processed it yet. */
    readonly requestArrived?: (request: PendingRequest) => void;
    /** An entry answered a request; the caller has not received the answer yet. */
    readonly answerSent?: (request: PendingRequest) => void;
    /** A caller's request ended; its `end` is set. */
    readonly requestEnded?: (request: PendingRequest) => void;
    /** A process sent a request to the platform. */
    readonly platformRequestSent?: (operation: string) => void;
    /** The core of a process made a decision; the process is given as address and incarnation. */
    readonly decisionMade?: (process: string, decision: Decision) => void;
}
