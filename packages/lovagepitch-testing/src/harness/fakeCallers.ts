/**
 * Callers of a simulated deployment: they send requests to the entries and record the outcomes.
 */
import type { EntryInput, RequestId } from "@lovagepitch/entry/core/entryInput";
import type { EntryResponse } from "@lovagepitch/entry/core/entryOutput";
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { Clock } from "@lovagepitch/utils/clock";
import type { AnswerRecord, CallerOperation } from "../checker/answerRecord.js";
import type { DeploymentRecord } from "../checker/deploymentRecord.js";
import type { DeploymentObserver } from "./deploymentObserver.js";
import type { Latencies } from "./deploymentSettings.js";
import { type EntryHost, ResponseSink } from "./entryHost.js";
import type { EventQueue } from "./eventQueue.js";
import type { MessageCounts } from "./messageCounts.js";
import { PendingRequest } from "./pendingRequest.js";

/** A request for a submission id that waits for its answer. */
interface PendingIdRequest {
    readonly entryIndex: number;
    readonly onIssued: (submission: SubmissionKey) => void;
    readonly onFailure: () => void;
}

/** All callers of the deployment; each request represents a caller of its own. */
export class FakeCallers extends ResponseSink {
    private readonly entries: EntryHost[] = [];
    private readonly pendingRequests = new Map<RequestId, PendingRequest>();
    private readonly pendingIdRequests = new Map<RequestId, PendingIdRequest>();
    private readonly unusedIds: SubmissionKey[][] = [];
    private readonly silentEntries = new Set<number>();
    private readonly seenIds = new Set<SubmissionKey>();
    private nextRequestId = 1;

    /**
     * @param queue - event queue of the deployment
     * @param clock - clock of the deployment
     * @param latencies - latencies of the deployment
     * @param counts - counts requests and answers
     * @param observer - notified of requests and answers
     * @param answers - record of requests and answers
     * @param record - deployment events, which caller outages are added to
     * @param recordsRequests - false to record no requests, which saves memory in long measurements
     */
    public constructor(
        private readonly queue: EventQueue,
        private readonly clock: Clock,
        private readonly latencies: Latencies,
        private readonly counts: MessageCounts,
        private readonly observer: DeploymentObserver,
        private readonly answers: AnswerRecord,
        private readonly record: DeploymentRecord,
        private readonly recordsRequests: boolean,
    ) {
        super();
    }

    /**
     * Adds an entry; its position in the order of these calls is its index.
     *
     * @param entry - entry that requests can be sent to
     */
    public addEntry(entry: EntryHost): void {
        this.entries.push(entry);
        this.unusedIds.push([]);
    }

    /**
     * Makes the connections between callers and an entry drop all messages, or restores them.
     *
     * @param entryIndex - index of the entry
     * @param isSilent - true to drop all messages, false to restore the connections
     */
    public setSilent(entryIndex: number, isSilent: boolean): void {
        const address = this.entries[entryIndex]?.address ?? "";
        const now = this.clock.nowMilliseconds();
        if (isSilent && !this.silentEntries.has(entryIndex)) {
            this.silentEntries.add(entryIndex);
            this.record.callerOutages.push({ address, fromMilliseconds: now, untilMilliseconds: undefined });
        }
        else if (!isSilent && this.silentEntries.delete(entryIndex)) {
            const last = this.record.callerOutages.findLastIndex(outage =>
                outage.address === address && outage.untilMilliseconds === undefined
            );
            const outage = this.record.callerOutages[last];
            if (outage !== undefined) {
                this.record.callerOutages[last] = { ...outage, untilMilliseconds: now };
            }
        }
    }

    /**
     * Submits a job under an issued submission id.
     *
     * @param entryIndex - index of the entry
     * @param job - job to submit
     * @param submission - the submission id; if undefined, an id from an earlier answer or a newly requested one is used
     * @returns the pending request
     */
    public submit(entryIndex: number, job: JobRequest, submission?: SubmissionKey): PendingRequest {
        const request = this.createRequest(entryIndex, "submit", job, undefined);
        const id = submission ?? this.unusedIds[entryIndex]?.pop();
        if (id === undefined) {
            this.submitWithNewId(request, job);
        }
        else {
            this.sendSubmission(request, job, id);
        }
        return request;
    }

    /**
     * Submits a job under an idempotency key of the caller.
     *
     * @param entryIndex - index of the entry
     * @param job - job to submit
     * @param key - idempotency key, unique within team and service
     * @returns the pending request
     */
    public submitWithKey(entryIndex: number, job: JobRequest, key: string): PendingRequest {
        const request = this.createRequest(entryIndex, "submitWithKey", job, key);
        const { team, service } = job;
        this.send(request, { type: "submitWithKey", request: request.id, key: { team, service, key }, job });
        return request;
    }

    /**
     * Queries or cancels a submission.
     *
     * @param entryIndex - index of the entry
     * @param operation - operation to request
     * @param submission - id of the submission
     * @returns the pending request
     */
    public sendOperation(entryIndex: number, operation: "query" | "cancel", submission: SubmissionKey): PendingRequest {
        const request = this.createRequest(entryIndex, operation, undefined, undefined);
        request.submission = submission;
        this.send(request, { type: operation, request: request.id, submission });
        return request;
    }

    /**
     * Requests a submission id without submitting a job.
     *
     * @param entryIndex - index of the entry
     * @param onIssued - called with the id
     * @param onFailure - called if the entry is stopped, stops before it answers, or refuses
     */
    public requestSubmissionId(
        entryIndex: number,
        onIssued: (submission: SubmissionKey) => void,
        onFailure: () => void = () => undefined,
    ): void {
        const requestId = this.nextRequestId;
        this.nextRequestId += 1;
        this.counts.countRequest();
        this.pendingIdRequests.set(requestId, { entryIndex, onIssued, onFailure });
        const input: EntryInput = { type: "issue", request: requestId, count: 1 };
        this.queue.schedule(this.getArrivalTime(), this.deliverIdRequest, input);
    }

    /**
     * Closes the connection of a request that still waits for its answer.
     *
     * @param request - request to abandon; nothing happens if it has ended
     */
    public abandonRequest(request: PendingRequest): void {
        if (request.end !== undefined) {
            return;
        }
        this.entries[request.entryIndex]?.accept({ type: "requestClosed", request: request.id });
        this.endRequest(request, { kind: "given-up", atMilliseconds: this.clock.nowMilliseconds() });
    }

    /** {@inheritDoc ResponseSink.respond} */
    public override respond(request: RequestId, response: EntryResponse): void {
        const pending = this.pendingRequests.get(request);
        const entryIndex = pending?.entryIndex ?? this.pendingIdRequests.get(request)?.entryIndex;
        if (entryIndex === undefined || this.silentEntries.has(entryIndex)) {
            return;
        }
        this.counts.countAnswer();
        if (pending !== undefined) {
            this.observer.answerSent?.(pending);
        }
        this.queue.schedule(this.clock.nowMilliseconds() + this.latencies.caller, this.receiveResponse, {
            request,
            response,
        });
    }

    /** {@inheritDoc ResponseSink.handleConnectionsLost} */
    public override handleConnectionsLost(entry: EntryHost): void {
        const entryIndex = this.entries.indexOf(entry);
        this.unusedIds[entryIndex] = [];
        for (const [requestId, idRequest] of this.pendingIdRequests) {
            if (idRequest.entryIndex === entryIndex) {
                this.pendingIdRequests.delete(requestId);
                idRequest.onFailure();
            }
        }
        for (const request of this.pendingRequests.values()) {
            if (request.hasArrived && request.entry === entry.name && !this.silentEntries.has(entryIndex)) {
                this.queue.schedule(
                    this.clock.nowMilliseconds() + this.latencies.caller,
                    this.endWithLostConnection,
                    request,
                );
            }
        }
    }

    private createRequest(
        entryIndex: number,
        operation: CallerOperation,
        job: JobRequest | undefined,
        key: string | undefined,
    ): PendingRequest {
        const now = this.clock.nowMilliseconds();
        const request = new PendingRequest(this.nextRequestId, entryIndex, operation, job, key, now);
        request.entry = this.entries[entryIndex]?.name ?? "";
        this.nextRequestId += 1;
        this.pendingRequests.set(request.id, request);
        if (this.recordsRequests) {
            this.answers.recordRequest(request);
        }
        return request;
    }

    private submitWithNewId(request: PendingRequest, job: JobRequest): void {
        this.requestSubmissionId(
            request.entryIndex,
            submission => this.sendSubmission(request, job, submission),
            () => this.endRequest(request, { kind: "refused", atMilliseconds: this.clock.nowMilliseconds() }),
        );
    }

    private sendSubmission(request: PendingRequest, job: JobRequest, submission: SubmissionKey): void {
        request.submission = submission;
        this.send(request, { type: "submit", request: request.id, submission, job });
    }

    private send(request: PendingRequest, input: EntryInput): void {
        this.counts.countRequest();
        this.queue.schedule(this.getArrivalTime(), this.deliverRequest, { request, input });
    }

    private getArrivalTime(): number {
        return this.clock.nowMilliseconds() + this.latencies.caller;
    }

    private readonly deliverIdRequest = (input: Extract<EntryInput, { readonly type: "issue" }>): void => {
        const idRequest = this.pendingIdRequests.get(input.request);
        if (idRequest === undefined || this.silentEntries.has(idRequest.entryIndex)) {
            return;
        }
        const entry = this.entries[idRequest.entryIndex];
        if (entry === undefined || entry.state === "stopped") {
            this.pendingIdRequests.delete(input.request);
            idRequest.onFailure();
            return;
        }
        entry.accept(input);
    };

    private readonly deliverRequest = (
        sent: { readonly request: PendingRequest; readonly input: EntryInput },
    ): void => {
        const { request, input } = sent;
        const entry = this.entries[request.entryIndex];
        if (request.end !== undefined || this.silentEntries.has(request.entryIndex)) {
            return;
        }
        if (entry === undefined || entry.state === "stopped") {
            this.endRequest(request, { kind: "refused", atMilliseconds: this.clock.nowMilliseconds() });
            return;
        }
        request.entry = entry.name;
        request.hasArrived = true;
        this.observer.requestArrived?.(request);
        entry.accept(input);
    };

    private readonly receiveResponse = (
        answer: { readonly request: RequestId; readonly response: EntryResponse },
    ): void => {
        const { request, response } = answer;
        const pending = this.pendingRequests.get(request);
        if (response.kind === "issued") {
            this.receiveIssuedId(request, response.submissions);
            return;
        }
        const idRequest = this.pendingIdRequests.get(request);
        if (idRequest !== undefined) {
            this.pendingIdRequests.delete(request);
            idRequest.onFailure();
            return;
        }
        if (pending === undefined || this.silentEntries.has(pending.entryIndex)) {
            return;
        }
        if (response.kind === "answer") {
            pending.submission ??= response.answer.submission;
            this.storeUnusedId(pending.entryIndex, response.answer.nextSubmission);
        }
        else if (response.kind === "problem") {
            this.storeUnusedId(pending.entryIndex, response.problem.nextSubmission);
        }
        this.endRequest(pending, { kind: "answered", result: response, atMilliseconds: this.clock.nowMilliseconds() });
    };

    private storeUnusedId(entryIndex: number, submission: SubmissionKey | undefined): void {
        // A replayed answer contains the same id again; an id must not be used for two jobs.
        if (submission !== undefined && !this.seenIds.has(submission)) {
            this.seenIds.add(submission);
            this.unusedIds[entryIndex]?.push(submission);
        }
    }

    private receiveIssuedId(request: RequestId, submissions: readonly SubmissionKey[]): void {
        const idRequest = this.pendingIdRequests.get(request);
        const [submission] = submissions;
        this.pendingIdRequests.delete(request);
        if (idRequest !== undefined && submission !== undefined) {
            idRequest.onIssued(submission);
        }
    }

    private readonly endWithLostConnection = (request: PendingRequest): void => {
        this.endRequest(request, { kind: "connection-lost", atMilliseconds: this.clock.nowMilliseconds() });
    };

    private endRequest(request: PendingRequest, end: NonNullable<PendingRequest["end"]>): void {
        if (request.end !== undefined) {
            return;
        }
        request.end = end;
        this.pendingRequests.delete(request.id);
        this.observer.requestEnded?.(request);
        request.onEnd?.(request);
    }
}
