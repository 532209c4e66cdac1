/**
 * Callers of a deployment in one process: they send requests to entries and keep what they see.
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

/** A request for ids that waits for its answer. */
interface PendingIssue {
    readonly entryIndex: number;
    readonly use: (submission: SubmissionKey) => void;
    readonly fail: () => void;
}

/** All callers together; each request stands for one. */
export class FakeCallers extends ResponseSink {
    private readonly entries: EntryHost[] = [];
    private readonly waiting = new Map<RequestId, PendingRequest>();
    private readonly issuing = new Map<RequestId, PendingIssue>();
    private readonly ids: SubmissionKey[][] = [];
    private readonly silentEntries = new Set<number>();
    private readonly keptIds = new Set<SubmissionKey>();
    private nextNumber = 1;

    /**
     * @param queue - events of the deployment
     * @param clock - its clock
     * @param latencies - its times
     * @param counts - counts requests and answers
     * @param observer - watches requests and answers
     * @param answers - the record of answers
     * @param record - facts of the deployment
     * @param keepsRecord - false to keep no record of requests, for long measurements
     */
    public constructor(
        private readonly queue: EventQueue,
        private readonly clock: Clock,
        private readonly latencies: Latencies,
        private readonly counts: MessageCounts,
        private readonly observer: DeploymentObserver,
        private readonly answers: AnswerRecord,
        private readonly record: DeploymentRecord,
        private readonly keepsRecord: boolean,
    ) {
        super();
    }

    /**
     * Adds an entry that requests can go to.
     *
     * @param entry - the entry
     */
    public addEntry(entry: EntryHost): void {
        this.entries.push(entry);
        this.ids.push([]);
    }

    /**
     * Makes the connections between callers and an entry silent, or lets them work again.
     *
     * @param entryIndex - position of the entry
     * @param isSilent - whether nothing passes
     */
    public setSilent(entryIndex: number, isSilent: boolean): void {
        const address = this.entries[entryIndex]?.address ?? "";
        const now = this.clock.nowMilliseconds();
        if (isSilent && !this.silentEntries.has(entryIndex)) {
            this.silentEntries.add(entryIndex);
            this.record.callerSilences.push({ address, fromMilliseconds: now, untilMilliseconds: undefined });
        }
        else if (!isSilent && this.silentEntries.delete(entryIndex)) {
            const last = this.record.callerSilences.findLastIndex(silence =>
                silence.address === address && silence.untilMilliseconds === undefined
            );
            const silence = this.record.callerSilences[last];
            if (silence !== undefined) {
                this.record.callerSilences[last] = { ...silence, untilMilliseconds: now };
            }
        }
    }

    /**
     * Submits a job under an issued id.
     *
     * @param entryIndex - position of the entry
     * @param job - the job
     * @param submission - the id; when undefined, one that an earlier answer brought or a new one
     * @returns the request
     */
    public submit(entryIndex: number, job: JobRequest, submission?: SubmissionKey): PendingRequest {
        const request = this.createRequest(entryIndex, "submit", job, undefined);
        const known = submission ?? this.ids[entryIndex]?.pop();
        if (known === undefined) {
            this.issueFor(request, job);
        }
        else {
            this.sendSubmission(request, job, known);
        }
        return request;
    }

    /**
     * Submits a job under the caller's own key.
     *
     * @param entryIndex - position of the entry
     * @param job - the job
     * @param key - the key
     * @returns the request
     */
    public submitWithKey(entryIndex: number, job: JobRequest, key: string): PendingRequest {
        const request = this.createRequest(entryIndex, "submitWithKey", job, key);
        const { team, service } = job;
        this.send(request, { type: "submitWithKey", request: request.number, key: { team, service, key }, job });
        return request;
    }

    /**
     * Asks for the state of a submission, or cancels it.
     *
     * @param entryIndex - position of the entry
     * @param operation - query or cancel
     * @param submission - the id
     * @returns the request
     */
    public sendOperation(entryIndex: number, operation: "query" | "cancel", submission: SubmissionKey): PendingRequest {
        const request = this.createRequest(entryIndex, operation, undefined, undefined);
        request.submission = submission;
        this.send(request, { type: operation, request: request.number, submission });
        return request;
    }

    /**
     * Gets an id without a job.
     *
     * @param entryIndex - position of the entry
     * @param use - gets the id
     * @param fail - told when the entry cannot be reached
     */
    public requestSubmissionId(
        entryIndex: number,
        use: (submission: SubmissionKey) => void,
        fail: () => void = () => undefined,
    ): void {
        const number = this.nextNumber;
        this.nextNumber += 1;
        this.counts.countRequest();
        this.issuing.set(number, { entryIndex, use, fail });
        const input: EntryInput = { type: "issue", request: number, count: 1 };
        this.queue.schedule(this.arrivalAt(), this.arriveIssue, input);
    }

    /**
     * Stops waiting for a request.
     *
     * @param request - the request
     */
    public giveUp(request: PendingRequest): void {
        if (request.end !== undefined) {
            return;
        }
        this.entries[request.entryIndex]?.accept({ type: "requestClosed", request: request.number });
        this.end(request, { kind: "given-up", atMilliseconds: this.clock.nowMilliseconds() });
    }

    /** {@inheritDoc ResponseSink.respond} */
    public override respond(request: RequestId, response: EntryResponse): void {
        const pending = this.waiting.get(request);
        const entryIndex = pending?.entryIndex ?? this.issuing.get(request)?.entryIndex;
        if (entryIndex === undefined || this.silentEntries.has(entryIndex)) {
            return;
        }
        this.counts.countAnswer();
        if (pending !== undefined) {
            this.observer.answerSent?.(pending);
        }
        this.queue.schedule(this.clock.nowMilliseconds() + this.latencies.caller, this.read, { request, response });
    }

    /** {@inheritDoc ResponseSink.connectionsLost} */
    public override connectionsLost(entry: EntryHost): void {
        const entryIndex = this.entries.indexOf(entry);
        this.ids[entryIndex] = [];
        for (const [number, issue] of this.issuing) {
            if (issue.entryIndex === entryIndex) {
                this.issuing.delete(number);
                issue.fail();
            }
        }
        for (const request of this.waiting.values()) {
            if (request.hasArrived && request.entry === entry.name && !this.silentEntries.has(entryIndex)) {
                this.queue.schedule(this.clock.nowMilliseconds() + this.latencies.caller, this.lose, request);
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
        const request = new PendingRequest(this.nextNumber, entryIndex, operation, job, key, now);
        request.entry = this.entries[entryIndex]?.name ?? "";
        this.nextNumber += 1;
        this.waiting.set(request.number, request);
        if (this.keepsRecord) {
            this.answers.recordRequest(request);
        }
        return request;
    }

    private issueFor(request: PendingRequest, job: JobRequest): void {
        this.requestSubmissionId(
            request.entryIndex,
            submission => this.sendSubmission(request, job, submission),
            () => this.end(request, { kind: "refused", atMilliseconds: this.clock.nowMilliseconds() }),
        );
    }

    private sendSubmission(request: PendingRequest, job: JobRequest, submission: SubmissionKey): void {
        request.submission = submission;
        this.send(request, { type: "submit", request: request.number, submission, job });
    }

    private send(request: PendingRequest, input: EntryInput): void {
        this.counts.countRequest();
        this.queue.schedule(this.arrivalAt(), this.arrive, { request, input });
    }

    private arrivalAt(): number {
        return this.clock.nowMilliseconds() + this.latencies.caller;
    }

    private readonly arriveIssue = (input: Extract<EntryInput, { readonly type: "issue" }>): void => {
        const issue = this.issuing.get(input.request);
        if (issue === undefined || this.silentEntries.has(issue.entryIndex)) {
            return;
        }
        const entry = this.entries[issue.entryIndex];
        if (entry === undefined || entry.state === "stopped") {
            this.issuing.delete(input.request);
            issue.fail();
            return;
        }
        entry.accept(input);
    };

    private readonly arrive = (sent: { readonly request: PendingRequest; readonly input: EntryInput }): void => {
        const { request, input } = sent;
        const entry = this.entries[request.entryIndex];
        if (request.end !== undefined || this.silentEntries.has(request.entryIndex)) {
            return;
        }
        if (entry === undefined || entry.state === "stopped") {
            this.end(request, { kind: "refused", atMilliseconds: this.clock.nowMilliseconds() });
            return;
        }
        request.entry = entry.name;
        request.hasArrived = true;
        this.observer.requestArrived?.(request);
        entry.accept(input);
    };

    private readonly read = (answer: { readonly request: RequestId; readonly response: EntryResponse }): void => {
        const { request, response } = answer;
        const pending = this.waiting.get(request);
        if (response.kind === "issued") {
            this.useIssued(request, response.submissions);
            return;
        }
        const issue = this.issuing.get(request);
        if (issue !== undefined) {
            this.issuing.delete(request);
            issue.fail();
            return;
        }
        if (pending === undefined || this.silentEntries.has(pending.entryIndex)) {
            return;
        }
        if (response.kind === "answer") {
            pending.submission ??= response.answer.submission;
            this.keepId(pending.entryIndex, response.answer.nextSubmission);
        }
        else if (response.kind === "problem") {
            this.keepId(pending.entryIndex, response.problem.nextSubmission);
        }
        this.end(pending, { kind: "answered", result: response, atMilliseconds: this.clock.nowMilliseconds() });
    };

    private keepId(entryIndex: number, submission: SubmissionKey | undefined): void {
        // A replayed answer brings the same id again, which must not serve two jobs.
        if (submission !== undefined && !this.keptIds.has(submission)) {
            this.keptIds.add(submission);
            this.ids[entryIndex]?.push(submission);
        }
    }

    private useIssued(request: RequestId, submissions: readonly SubmissionKey[]): void {
        const issue = this.issuing.get(request);
        const [submission] = submissions;
        this.issuing.delete(request);
        if (issue !== undefined && submission !== undefined) {
            issue.use(submission);
        }
    }

    private readonly lose = (request: PendingRequest): void => {
        this.end(request, { kind: "connection-lost", atMilliseconds: this.clock.nowMilliseconds() });
    };

    private end(request: PendingRequest, end: NonNullable<PendingRequest["end"]>): void {
        if (request.end !== undefined) {
            return;
        }
        request.end = end;
        this.waiting.delete(request.number);
        this.observer.requestEnded?.(request);
        request.onEnd?.(request);
    }
}
