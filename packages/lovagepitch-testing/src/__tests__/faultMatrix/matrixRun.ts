/**
 * One run of the fault matrix: a job is advanced to a step, faults are injected, and the deployment settles.
 */
import type { JobRequest } from "@lovagepitch/types/job";
import type { PeerBatch } from "@lovagepitch/types/peerMessage";
import { documentedLimits, type Violation } from "../../checker/violation.js";
import type { DeploymentObserver } from "../../harness/deploymentObserver.js";
import { createAgentPlacement, defaultDeployment, type DeploymentSettings } from "../../harness/deploymentSettings.js";
import { InProcessDeployment } from "../../harness/inProcessDeployment.js";
import type { PendingRequest } from "../../harness/pendingRequest.js";
import { RetryingCaller } from "../../harness/retryingCaller.js";
import { createMatrixJob, createMatrixManifest, matrixZones } from "./matrixJobs.js";

const slotsPerAgent = 2;
const startedAgentCount = 3;
const attemptTimeoutMilliseconds = 3000;
const maximumSettleMilliseconds = 40_000;
const extraSettleMilliseconds = 6000;
const keptTraceLines = 400;

/** Events that were observed in a run, mainly of the job under test. */
export interface MatrixEvents {
    isClaimRequested: boolean;
    isRegistrationRequested: boolean;
    isHandoverRequested: boolean;
    isCancelReceived: boolean;
    isJobReceived: boolean;
    isJobAdmitted: boolean;
    isStartSent: boolean;
    isAnswerSent: boolean;
    startedTaskCount: number;
    endedTaskCount: number;
    receivedOutcomeCount: number;
}

/** A deployment, the job under test, and the other jobs. */
export class MatrixRun {
    /** Deployment of entries, agents, backend servers and the platform. */
    public readonly deployment: InProcessDeployment;
    /** Events that were observed so far. */
    public readonly events: MatrixEvents = {
        isClaimRequested: false,
        isRegistrationRequested: false,
        isHandoverRequested: false,
        isCancelReceived: false,
        isJobReceived: false,
        isJobAdmitted: false,
        isStartSent: false,
        isAnswerSent: false,
        startedTaskCount: 0,
        endedTaskCount: 0,
        receivedOutcomeCount: 0,
    };
    /** Job under test. */
    public job: JobRequest = createMatrixJob();
    /** Caller of the job under test, once it is created. */
    public caller: RetryingCaller | undefined;
    /** Longest time for which faults may delay messages or freeze processes, in milliseconds. */
    public maximumDelayMilliseconds = 0;
    /** Index of the agent that faults are injected into. */
    public agentIndex = 0;
    private readonly otherCallers: RetryingCaller[] = [];
    private readonly trace: string[] = [];

    /**
     * @param seed - seed of the deployment's random source
     * @param changes - settings that override those of the matrix
     */
    public constructor(public readonly seed: number, changes: Partial<DeploymentSettings> = {}) {
        const agentPlaces = [["rack-1", 0], ["rack-2", 1], ["rack-1", 0], ["rack-2", 1]] as const;
        const agents = agentPlaces.map(([rack, zone], position) => ({
            ...createAgentPlacement(`worker-${position + 1}`, rack, matrixZones[zone]),
            slots: slotsPerAgent,
        }));
        this.deployment = new InProcessDeployment(
            { ...defaultDeployment, seed, agents, ...changes },
            this.createObserver(),
        );
        this.deployment.start(createMatrixManifest(), startedAgentCount);
    }

    /** Latest events of the run, one a line, for the message of a failed scenario. */
    public get traceText(): string {
        return this.trace.slice(-keptTraceLines).join("\n");
    }

    /**
     * Submits the job under test at the first entry.
     *
     * @param key - the caller's key, or undefined for an issued id
     */
    public submitJob(key?: string): void {
        this.prepareCaller(key);
        this.caller?.start();
    }

    /**
     * Creates the caller of the job under test without starting it.
     *
     * @param key - the caller's key, or undefined for an issued id
     * @returns the created caller
     */
    public prepareCaller(key?: string): RetryingCaller {
        this.caller = this.createCaller(this.job, 0, key);
        return this.caller;
    }

    /**
     * Submits another caller's job.
     *
     * @param job - job to submit
     * @param firstEntry - index of the entry that receives the first attempt
     * @param key - the caller's key, or undefined for an issued id
     * @returns the started caller of that job
     */
    public submitOtherJob(job: JobRequest, firstEntry: number, key?: string): RetryingCaller {
        const caller = this.createCaller(job, firstEntry, key);
        this.otherCallers.push(caller);
        caller.start();
        return caller;
    }

    /**
     * Resubmits one of the other callers' jobs at every entry.
     *
     * @param jobIndex - index of the job, modulo the number of jobs
     */
    public resubmitOtherJob(jobIndex: number): void {
        const caller = this.otherCallers[jobIndex % this.otherCallers.length];
        if (caller?.submission === undefined) {
            return;
        }
        for (const index of this.deployment.entries.keys()) {
            this.deployment.submit(index, caller.job, caller.submission);
        }
    }

    /**
     * Cancels one of the other callers' jobs.
     *
     * @param jobIndex - index of the job, modulo the number of jobs
     */
    public cancelOtherJob(jobIndex: number): void {
        const caller = this.otherCallers[jobIndex % this.otherCallers.length];
        if (caller?.submission !== undefined) {
            this.deployment.callers.sendOperation(
                jobIndex % this.deployment.entries.length,
                "cancel",
                caller.submission,
            );
        }
    }

    /**
     * Advances the deployment until a condition is met.
     *
     * @param condition - returns true when the run has reached the wanted state
     * @throws Error when the condition is not met in time
     */
    public advanceUntil(condition: () => boolean): void {
        if (!this.deployment.runUntil(condition, maximumSettleMilliseconds)) {
            throw new Error(`the condition of the step was not met with seed ${this.seed}\n${this.traceText}`);
        }
    }

    /** Advances until every caller has a result, then resubmits the job under test at every running entry. */
    public settle(): void {
        const callers = [...this.otherCallers, ...this.caller === undefined ? [] : [this.caller]];
        this.deployment.runUntil(
            () => callers.every(caller => caller.result !== undefined),
            maximumSettleMilliseconds,
        );
        this.deployment.advance(extraSettleMilliseconds);
        const submission = this.caller?.submission;
        if (submission === undefined) {
            return;
        }
        for (const [index, entry] of this.deployment.entries.entries()) {
            if (entry.state === "running") {
                this.deployment.submit(index, this.job, submission);
            }
        }
        this.deployment.advance(extraSettleMilliseconds);
    }

    /**
     * Checks the run against the rules.
     *
     * @returns descriptions of the violations and of the jobs without a final result
     */
    public collectProblems(): readonly string[] {
        const limits = {
            ...documentedLimits,
            decisionMarginMilliseconds: documentedLimits.decisionMarginMilliseconds + this.maximumDelayMilliseconds,
        };
        const problems = this.deployment.check(limits).map(describeViolation);
        for (const caller of [...this.otherCallers, ...this.caller === undefined ? [] : [this.caller]]) {
            if (caller.result === undefined) {
                problems.push(`no final result for ${caller.submission ?? "a job without an id"}`);
            }
        }
        return problems;
    }

    /**
     * Tells whether the job under test was completed.
     *
     * @returns true when its caller received a complete answer
     */
    public isComplete(): boolean {
        const result = this.caller?.result;
        return result?.kind === "answer" && result.answer.state === "complete";
    }

    private createCaller(job: JobRequest, firstEntry: number, key: string | undefined): RetryingCaller {
        return new RetryingCaller(this.deployment, {
            job,
            key,
            firstEntry,
            attemptTimeoutMilliseconds,
        });
    }

    private isJobUnderTest(submission: string | undefined): boolean {
        return submission !== undefined && submission === this.getSubmissionUnderTest();
    }

    private getSubmissionUnderTest(): string | undefined {
        return this.caller?.submission ?? this.caller?.request?.submission;
    }

    private createObserver(): DeploymentObserver {
        return {
            requestArrived: request => this.recordRequest(request),
            answerSent: request => {
                this.events.isAnswerSent ||= request === this.caller?.request;
                this.writeTrace(`answer sent to ${request.operation} ${request.id}`);
            },
            requestEnded: request => this.writeTrace(`request ${request.id} ${JSON.stringify(request.end)}`),
            platformRequestSent: operation => {
                this.events.isClaimRequested ||= operation === "claimKey";
                this.events.isRegistrationRequested ||= operation === "registerAgent" && this.caller !== undefined;
                this.events.isHandoverRequested ||= operation === "putHandover";
            },
            batchSent: (destination, batch) => {
                this.events.isStartSent ||= this.countMessages(batch, "startTasks") > 0;
                const types = batch.messages.map(message => JSON.stringify(message));
                this.writeTrace(`${batch.sender.address} > ${destination} ${types.join(" ")}`);
            },
            batchArrived: (_destination, batch) => {
                this.events.receivedOutcomeCount += this.countOutcomes(batch);
            },
            taskStarted: start => {
                this.events.startedTaskCount += this.isEchoOfJobUnderTest(start.echo) ? 1 : 0;
                this.writeTrace(`started ${start.submission} ${start.index} at ${start.worker}`);
            },
            taskEnded: (start, end) => {
                this.events.endedTaskCount += this.isEchoOfJobUnderTest(start.echo) ? 1 : 0;
                this.writeTrace(`${end.state} ${start.submission} ${start.index} at ${start.worker}`);
            },
            decisionMade: (process, decision) => {
                this.events.isJobAdmitted ||= decision.decision === "admitted"
                    && this.isJobUnderTest(decision.submission);
                this.writeTrace(`${process} decided ${JSON.stringify(decision)}`);
            },
        };
    }

    private recordRequest(request: PendingRequest): void {
        this.events.isJobReceived ||= request.job === this.job;
        this.events.isCancelReceived ||= request.operation === "cancel" && this.isJobUnderTest(request.submission);
        this.writeTrace(
            `${request.operation} ${request.id} of ${request.submission ?? request.key ?? "?"} arrived`,
        );
    }

    private isEchoOfJobUnderTest(echo: unknown): boolean {
        return this.job.tasks.some(task => (task.payload as { readonly echo: string }).echo === echo);
    }

    private countMessages(batch: PeerBatch, type: "startTasks"): number {
        return batch.messages.filter(message => message.type === type && this.isJobUnderTest(message.submission))
            .length;
    }

    private countOutcomes(batch: PeerBatch): number {
        let outcomes = 0;
        for (const message of batch.messages) {
            if (message.type === "reportTasks" && this.isJobUnderTest(message.submission)) {
                outcomes += message.reports.filter(({ report }) => report.state === "succeeded").length;
            }
        }
        return outcomes;
    }

    private writeTrace(text: string): void {
        const at = this.deployment.clock.nowMilliseconds() - this.deployment.settings.startMilliseconds;
        this.trace.push(`${at.toFixed(1)} ${text}`);
        if (this.trace.length > 2 * keptTraceLines) {
            this.trace.splice(0, keptTraceLines);
        }
    }
}

function describeViolation(violation: Violation): string {
    return `${violation.rule}: ${violation.message}`;
}
