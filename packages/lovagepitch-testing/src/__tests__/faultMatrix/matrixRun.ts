/**
 * One run of the fault matrix: a job is brought to a step, faults strike, and everything settles.
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

const slotsEach = 2;
const startedAgents = 3;
const patienceMilliseconds = 3000;
const longestSettling = 40_000;
const afterSettling = 6000;
const traceLines = 400;

/** Something that was seen in a run; the newest events of each kind. */
export interface MatrixEvents {
    claimAsked: boolean;
    registrationAsked: boolean;
    handoverAsked: boolean;
    cancelArrived: boolean;
    jobArrived: boolean;
    jobAdmitted: boolean;
    startSent: boolean;
    answerSent: boolean;
    startedTasks: number;
    endedTasks: number;
    outcomesArrived: number;
}

/** The deployment, the job in question, and the jobs around it. */
export class MatrixRun {
    /** Entries, agents and the rest. */
    public readonly deployment: InProcessDeployment;
    /** What was seen of the job in question. */
    public readonly events: MatrixEvents = {
        claimAsked: false,
        registrationAsked: false,
        handoverAsked: false,
        cancelArrived: false,
        jobArrived: false,
        jobAdmitted: false,
        startSent: false,
        answerSent: false,
        startedTasks: 0,
        endedTasks: 0,
        outcomesArrived: 0,
    };
    /** The job in question. */
    public job: JobRequest = createMatrixJob();
    /** Its caller, once it was submitted. */
    public caller: RetryingCaller | undefined;
    /** Longest time that a fault held back messages or processes, in milliseconds. */
    public heldBackMilliseconds = 0;
    /** Position of the agent that faults strike. */
    public agentIndex = 0;
    private readonly others: RetryingCaller[] = [];
    private readonly trace: string[] = [];

    /**
     * @param seed - seed of everything random
     * @param changes - settings that differ from the matrix's own
     */
    public constructor(public readonly seed: number, changes: Partial<DeploymentSettings> = {}) {
        const places = [["rack-1", 0], ["rack-2", 1], ["rack-1", 0], ["rack-2", 1]] as const;
        const agents = places.map(([rack, zone], position) => ({
            ...createAgentPlacement(`worker-${position + 1}`, rack, matrixZones[zone]),
            slots: slotsEach,
        }));
        this.deployment = new InProcessDeployment({ ...defaultDeployment, seed, agents, ...changes }, this.observe());
        this.deployment.start(createMatrixManifest(), startedAgents);
    }

    /** Events of the run, for a failing scenario's message. */
    public get traceText(): string {
        return this.trace.slice(-traceLines).join("\n");
    }

    /**
     * Submits the job in question at the first entry.
     *
     * @param key - the caller's key, or undefined for an issued id
     */
    public submitJob(key?: string): void {
        this.prepareCaller(key);
        this.caller?.start();
    }

    /**
     * Makes the caller of the job in question.
     *
     * @param key - the caller's key, or undefined for an issued id
     * @returns the caller
     */
    public prepareCaller(key?: string): RetryingCaller {
        this.caller = this.createCaller(this.job, 0, key);
        return this.caller;
    }

    /**
     * Submits another caller's job.
     *
     * @param job - the job
     * @param firstEntry - position of the entry
     * @param key - the caller's key, or undefined for an issued id
     * @returns its caller
     */
    public submitOther(job: JobRequest, firstEntry: number, key?: string): RetryingCaller {
        const caller = this.createCaller(job, firstEntry, key);
        this.others.push(caller);
        caller.start();
        return caller;
    }

    /**
     * Resubmits some job at every entry.
     *
     * @param choice - which job, counted round
     */
    public resubmitAny(choice: number): void {
        const caller = this.others[choice % this.others.length];
        if (caller?.submission === undefined) {
            return;
        }
        for (const index of this.deployment.entries.keys()) {
            this.deployment.submit(index, caller.job, caller.submission);
        }
    }

    /**
     * Cancels some job.
     *
     * @param choice - which job, counted round
     */
    public cancelAny(choice: number): void {
        const caller = this.others[choice % this.others.length];
        if (caller?.submission !== undefined) {
            this.deployment.callers.sendOperation(choice % this.deployment.entries.length, "cancel", caller.submission);
        }
    }

    /**
     * Runs until something holds.
     *
     * @param condition - what to wait for
     * @throws Error when it does not come to hold
     */
    public reach(condition: () => boolean): void {
        if (!this.deployment.runUntil(condition, longestSettling)) {
            throw new Error(`the step was not reached with seed ${this.seed}\n${this.traceText}`);
        }
    }

    /** Lets everything settle, then resubmits the job at every entry that runs. */
    public settle(): void {
        const callers = [...this.others, ...this.caller === undefined ? [] : [this.caller]];
        this.deployment.runUntil(
            () => callers.every(caller => caller.result !== undefined),
            longestSettling,
        );
        this.deployment.advance(afterSettling);
        const submission = this.caller?.submission;
        if (submission === undefined) {
            return;
        }
        for (const [index, entry] of this.deployment.entries.entries()) {
            if (entry.state === "running") {
                this.deployment.submit(index, this.job, submission);
            }
        }
        this.deployment.advance(afterSettling);
    }

    /**
     * Judges the run.
     *
     * @returns violations, and jobs without a final result
     */
    public judge(): readonly string[] {
        const limits = {
            ...documentedLimits,
            decisionMarginMilliseconds: documentedLimits.decisionMarginMilliseconds + this.heldBackMilliseconds,
        };
        const problems = this.deployment.check(limits).map(describeViolation);
        for (const caller of [...this.others, ...this.caller === undefined ? [] : [this.caller]]) {
            if (caller.result === undefined) {
                problems.push(`no final result for ${caller.submission ?? "a job without an id"}`);
            }
        }
        return problems;
    }

    /**
     * Tells whether the job in question was completed.
     *
     * @returns true when its caller holds a complete answer
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
            attemptTimeoutMilliseconds: patienceMilliseconds,
        });
    }

    private isJob(submission: string | undefined): boolean {
        return submission !== undefined && submission === this.jobSubmission();
    }

    private jobSubmission(): string | undefined {
        return this.caller?.submission ?? this.caller?.request?.submission;
    }

    private observe(): DeploymentObserver {
        return {
            requestArrived: request => this.noteRequest(request),
            answerSent: request => {
                this.events.answerSent ||= request === this.caller?.request;
                this.write(`answer sent to ${request.operation} ${request.id}`);
            },
            requestEnded: request => this.write(`request ${request.id} ${JSON.stringify(request.end)}`),
            platformRequestSent: operation => {
                this.events.claimAsked ||= operation === "claimKey";
                this.events.registrationAsked ||= operation === "registerAgent" && this.caller !== undefined;
                this.events.handoverAsked ||= operation === "putHandover";
            },
            batchSent: (destination, batch) => {
                this.events.startSent ||= this.countMessages(batch, "startTasks") > 0;
                const types = batch.messages.map(message => JSON.stringify(message));
                this.write(`${batch.sender.address} > ${destination} ${types.join(" ")}`);
            },
            batchArrived: (_destination, batch) => {
                this.events.outcomesArrived += this.countOutcomes(batch);
            },
            taskStarted: start => {
                this.events.startedTasks += this.isEcho(start.echo) ? 1 : 0;
                this.write(`started ${start.submission} ${start.index} at ${start.worker}`);
            },
            taskEnded: (start, end) => {
                this.events.endedTasks += this.isEcho(start.echo) ? 1 : 0;
                this.write(`${end.state} ${start.submission} ${start.index} at ${start.worker}`);
            },
            decisionMade: (process, decision) => {
                this.events.jobAdmitted ||= decision.decision === "admitted" && this.isJob(decision.submission);
                this.write(`${process} decided ${JSON.stringify(decision)}`);
            },
        };
    }

    private noteRequest(request: PendingRequest): void {
        this.events.jobArrived ||= request.job === this.job;
        this.events.cancelArrived ||= request.operation === "cancel" && this.isJob(request.submission);
        this.write(`${request.operation} ${request.id} of ${request.submission ?? request.key ?? "?"} arrived`);
    }

    private isEcho(echo: unknown): boolean {
        return this.job.tasks.some(task => (task.payload as { readonly echo: string }).echo === echo);
    }

    private countMessages(batch: PeerBatch, type: "startTasks"): number {
        return batch.messages.filter(message => message.type === type && this.isJob(message.submission)).length;
    }

    private countOutcomes(batch: PeerBatch): number {
        let outcomes = 0;
        for (const message of batch.messages) {
            if (message.type === "reportTasks" && this.isJob(message.submission)) {
                outcomes += message.reports.filter(({ report }) => report.state === "succeeded").length;
            }
        }
        return outcomes;
    }

    private write(text: string): void {
        const at = this.deployment.clock.nowMilliseconds() - this.deployment.settings.startMilliseconds;
        this.trace.push(`${at.toFixed(1)} ${text}`);
        if (this.trace.length > 2 * traceLines) {
            this.trace.splice(0, traceLines);
        }
    }
}

function describeViolation(violation: Violation): string {
    return `${violation.rule}: ${violation.message}`;
}
