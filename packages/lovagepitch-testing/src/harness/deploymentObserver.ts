/**
 * What a test or a measurement may watch in a deployment.
 */
import type { TaskEnd, TaskStart } from "../checker/startRecord.js";
import type { Decision } from "@lovagepitch/types/decision";
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { PeerBatch } from "@lovagepitch/types/peerMessage";
import type { PendingRequest } from "./pendingRequest.js";

/** Hooks that do nothing; a watcher overrides those it needs. */
export class DeploymentObserver {
    /**
     * A task reached its backend server.
     *
     * @param _start - the start
     */
    public taskStarted(_start: TaskStart): void {}

    /**
     * A task ended at its backend server.
     *
     * @param _start - its start
     * @param _end - how it ended
     */
    public taskEnded(_start: TaskStart, _end: TaskEnd): void {}

    /**
     * A process sent a batch.
     *
     * @param _destination - address it goes to
     * @param _batch - the messages
     */
    public batchSent(_destination: PeerAddress, _batch: PeerBatch): void {}

    /**
     * A batch reached a running process, before its next tick.
     *
     * @param _destination - address it went to
     * @param _batch - the messages
     */
    public batchArrived(_destination: PeerAddress, _batch: PeerBatch): void {}

    /**
     * A caller's request reached its entry, before the entry's next tick.
     *
     * @param _request - the request
     */
    public requestArrived(_request: PendingRequest): void {}

    /**
     * An entry answered a request; the answer is on its way.
     *
     * @param _request - the request
     */
    public answerSent(_request: PendingRequest): void {}

    /**
     * A caller's request ended.
     *
     * @param _request - the request, with its end
     */
    public requestEnded(_request: PendingRequest): void {}

    /**
     * A request to the platform left a process.
     *
     * @param _operation - what was asked
     */
    public platformAsked(_operation: string): void {}

    /**
     * A core decided something.
     *
     * @param _process - address and incarnation of its process
     * @param _decision - the decision
     */
    public decided(_process: string, _decision: Decision): void {}
}
