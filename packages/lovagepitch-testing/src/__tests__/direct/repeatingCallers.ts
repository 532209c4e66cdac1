/**
 * Callers whose connections break and who send their jobs again.
 */
import type { RunIdentity } from "@lovagepitch/direct/model/frames";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { DirectDeployment } from "../../direct/directDeployment.js";
import { resubmissionDelayMilliseconds } from "../../direct/submissionRecord.js";

/** Time that a caller waits for its answer, in milliseconds. */
const callerWaitMilliseconds = 8000;

/** Time beyond its waiting time within which a caller gets its answer from an entry that is not frozen, in milliseconds. */
const answerMarginMilliseconds = 100;

/** Time between two checks for answers, in milliseconds. */
const stepMilliseconds = 5;

/** Largest number of times that the connection of one caller breaks. */
const maximumBreaks = 3;

/** Latest repetition of a job that was done, in milliseconds after the answer. */
const latestRepetitionMilliseconds = 5000;

/** Time after which an entry may notice a connection that its caller knows to be broken, in milliseconds. */
const noticeMilliseconds = 20;

/** Time after which an entry may notice it when the caller submits its job again to the same entry, in milliseconds. */
const lateNoticeMilliseconds = 3000;

/** Estimated run times of the tasks, in milliseconds. */
const shortTaskMilliseconds = 200;
const longTaskMilliseconds = 1500;

interface CallerJob {
    readonly id: string;
    readonly isLong: boolean;
    breaksLeft: number;
    entry: number;
    request: number;
    sentAt: number;
    isWaiting: boolean;
    /** Entry that may have an open connection of the caller, or runs for it, until `boundUntil`. */
    boundTo: number;
    boundUntil: number;
}

/**
 * Gives the run time of a task of these callers.
 *
 * @param run - a run of the task
 * @returns milliseconds
 */
export function getRepeatedTaskMilliseconds(run: RunIdentity): number {
    return isLongJob(run.job) ? 600 + (run.task * 337) % 900 : 100 + (run.task * 37) % 100;
}

function isLongJob(id: string): boolean {
    return id.startsWith("d");
}

/** Callers of a deployment, with what they see of its entries. */
export class RepeatingCallers {
    /** Callers that did not get an answer in time. */
    public readonly violations: string[] = [];
    private readonly jobs = new Map<string, CallerJob>();
    private readonly jobsByRequest = new Map<number, CallerJob>();
    private readonly killedEntries = new Set<number>();
    private readonly killedAt = new Map<number, number>();
    /** Instant until which an entry was frozen; infinite while it is. */
    private readonly frozenUntil = new Map<number, number>();
    private pendingSendings = 0;
    private seenAnswers = 0;
    private nextId = 1;

    /**
     * @param deployment - deployment that they send their jobs to
     * @param entries - number of its entries
     * @param random - source of what the callers do
     * @param breaksForCallersAlone - true if callers may send a job to any entry before its entry has noticed the broken
     *   connection
     */
    public constructor(
        private readonly deployment: DirectDeployment,
        private readonly entries: number,
        private readonly random: RandomSource,
        private readonly breaksForCallersAlone = false,
    ) {}

    /** True while a caller waits for an answer or is to send its job again. */
    public get areOpen(): boolean {
        return this.pendingSendings > 0 || [...this.jobs.values()].some(({ isWaiting }) => isWaiting);
    }

    /**
     * Lets new callers send jobs.
     *
     * @param count - number of jobs
     * @param milliseconds - time within which they arrive, in milliseconds
     */
    public submitJobs(count: number, milliseconds: number): void {
        for (let index = 0; index < count; index += 1) {
            const isLong = this.random.nextInteger(8) === 0;
            const id = `${isLong ? "d" : "b"}${this.nextId.toString(16).padStart(15, "0")}`;
            this.nextId += 1;
            const breaksLeft = Math.max(0, this.random.nextInteger(maximumBreaks + 2) - 1);
            const job = {
                id,
                isLong,
                breaksLeft,
                entry: 0,
                request: 0,
                sentAt: 0,
                isWaiting: false,
                boundTo: 0,
                boundUntil: Number.NEGATIVE_INFINITY,
            };
            this.jobs.set(id, job);
            this.send(job, this.random.nextInteger(this.entries));
            this.pass(Math.round(milliseconds / count));
        }
    }

    /**
     * Advances the clock.
     *
     * @param milliseconds - time to advance, in milliseconds
     */
    public pass(milliseconds: number): void {
        for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
            this.deployment.advance(Math.min(stepMilliseconds, milliseconds - passed));
            this.receiveAnswers();
        }
    }

    /**
     * Kills the process of an entry, which breaks the connections of its callers.
     *
     * @param entry - index of the entry
     */
    public killEntry(entry: number): void {
        if (this.killedEntries.has(entry)) {
            return;
        }
        this.killedEntries.add(entry);
        this.killedAt.set(entry, this.now);
        this.deployment.killEntry(entry);
        for (const job of this.jobs.values()) {
            if (job.isWaiting && job.entry === entry) {
                job.isWaiting = false;
                this.sendLater(job, resubmissionDelayMilliseconds);
            }
        }
    }

    /**
     * Starts an entry that was killed.
     *
     * @param entry - index of the entry
     */
    public restartEntry(entry: number): void {
        if (this.killedEntries.delete(entry)) {
            this.deployment.setFrozen("entry", entry, false);
            this.deployment.restartEntry(entry);
        }
    }

    /**
     * Freezes or wakes an entry.
     *
     * @param entry - index of the entry
     * @param isFrozen - true to freeze it
     */
    public setFrozen(entry: number, isFrozen: boolean): void {
        this.deployment.setFrozen("entry", entry, isFrozen);
        this.frozenUntil.set(entry, isFrozen ? Number.POSITIVE_INFINITY : this.now);
    }

    private get now(): number {
        return this.deployment.clock.nowMilliseconds();
    }

    private schedule(milliseconds: number, action: () => void): void {
        this.deployment.queue.schedule(this.now + milliseconds, action, undefined);
    }

    private send(job: CallerJob, entry: number): void {
        if (this.killedEntries.has(entry)) {
            this.sendLater(job, stepMilliseconds);
            return;
        }
        const request = this.submitTo(job, entry);
        Object.assign(job, { entry, request, sentAt: this.now, isWaiting: true });
        this.jobsByRequest.set(request, job);
        this.schedule(callerWaitMilliseconds + answerMarginMilliseconds, () => this.giveUp(job, request));
        if (job.breaksLeft > 0) {
            job.breaksLeft -= 1;
            const milliseconds = this.chooseBreakMilliseconds(job);
            if (milliseconds === 0) {
                this.breakConnection(job, request, 0);
            }
            else {
                this.schedule(milliseconds, () => this.breakConnection(job, request, milliseconds));
            }
        }
    }

    private submitTo(job: CallerJob, entry: number): number {
        return this.deployment.submit(entry, {
            id: job.id,
            estimatedMilliseconds: job.isLong ? longTaskMilliseconds : shortTaskMilliseconds,
            callerWaitMilliseconds,
        });
    }

    /** Chooses a time before the first start, while tasks run, or just before the answer. */
    private chooseBreakMilliseconds(job: CallerJob): number {
        switch (this.random.nextInteger(4)) {
            case 0:
                return this.random.nextInteger(5);
            case 1:
                return (job.isLong ? 1590 : 174) + this.random.nextInteger(12);
            default:
                return 5 + this.random.nextInteger(job.isLong ? 1500 : 250);
        }
    }

    /** Breaks the connection of a caller that still waits, or lets it cancel its job. */
    private breakConnection(job: CallerJob, request: number, afterMilliseconds: number): void {
        if (!job.isWaiting || job.request !== request) {
            return;
        }
        if (afterMilliseconds > 0 && this.random.nextInteger(5) === 0) {
            this.deployment.cancel(job.entry, job.id);
            return;
        }
        job.isWaiting = false;
        if (this.breaksForCallersAlone && afterMilliseconds > 0 && this.random.nextInteger(2) === 0) {
            this.noticeLater(job, request, lateNoticeMilliseconds);
            this.sendLater(job, resubmissionDelayMilliseconds);
            return;
        }
        if (afterMilliseconds > 0 && this.random.nextInteger(6) === 0) {
            const milliseconds = this.noticeLater(job, request, lateNoticeMilliseconds);
            job.boundTo = job.entry;
            job.boundUntil = this.now + milliseconds + resubmissionDelayMilliseconds;
            this.sendAgainTo(job, job.entry, resubmissionDelayMilliseconds);
            return;
        }
        if (afterMilliseconds === 0 || this.random.nextInteger(2) === 0) {
            this.deployment.closeCallerConnection(job.entry, request, job.id);
        }
        else {
            this.noticeLater(job, request, noticeMilliseconds);
        }
        this.sendLater(job, resubmissionDelayMilliseconds);
    }

    /** Lets an entry notice later that the connection of a caller is broken, unless its process has ended by then. */
    private noticeLater({ entry, id }: CallerJob, request: number, longestMilliseconds: number): number {
        const brokenAt = this.now;
        const milliseconds = 1 + this.random.nextInteger(longestMilliseconds);
        this.schedule(milliseconds, () => {
            if (!this.killedEntries.has(entry) && (this.killedAt.get(entry) ?? 0) < brokenAt) {
                this.deployment.closeCallerConnection(entry, request, id);
            }
        });
        return milliseconds;
    }

    /**
     * Sends a job again to the entry that may not have noticed the broken connection, which adds the request to those of
     * the open job. If the entry is killed, the caller waits anew.
     */
    private sendAgainTo(job: CallerJob, entry: number, milliseconds: number): void {
        this.pendingSendings += 1;
        this.schedule(milliseconds, () => {
            this.pendingSendings -= 1;
            const waitsUntil = (this.killedAt.get(entry) ?? Number.NEGATIVE_INFINITY) + resubmissionDelayMilliseconds;
            if (this.killedEntries.has(entry) || this.now < waitsUntil) {
                this.sendAgainTo(job, entry, stepMilliseconds);
            }
            else {
                this.send(job, entry);
            }
        });
    }

    private sendLater(job: CallerJob, milliseconds: number): void {
        this.pendingSendings += 1;
        this.schedule(milliseconds, () => {
            this.pendingSendings -= 1;
            if (this.random.nextInteger(4) === 0) {
                this.deliverBrokenRequest(job, this.random.nextInteger(this.entries));
            }
            if (this.now < job.boundUntil) {
                this.sendAgainTo(job, job.boundTo, 0);
            }
            else {
                this.send(job, this.random.nextInteger(this.entries));
            }
        });
    }

    /** Delivers a request together with the end of its connection, as when both were held up on the way. */
    private deliverBrokenRequest(job: CallerJob, entry: number): void {
        if (!this.killedEntries.has(entry)) {
            this.deployment.closeCallerConnection(entry, this.submitTo(job, entry), job.id);
        }
    }

    private giveUp(job: CallerJob, request: number): void {
        if (!job.isWaiting || job.request !== request) {
            return;
        }
        job.isWaiting = false;
        if ((this.frozenUntil.get(job.entry) ?? Number.NEGATIVE_INFINITY) < job.sentAt) {
            this.violations.push(`request ${request} for ${job.id}, sent at ${job.sentAt}, got no answer`);
        }
        this.deployment.closeCallerConnection(job.entry, request, job.id);
    }

    private receiveAnswers(): void {
        const { answers } = this.deployment.record;
        for (const { request, entry, answer } of answers.slice(this.seenAnswers)) {
            const job = this.jobsByRequest.get(request);
            if (job?.isWaiting !== true || job.request !== request) {
                continue;
            }
            job.isWaiting = false;
            if (answer.kind === "interrupted") {
                this.sendLater(job, resubmissionDelayMilliseconds);
            }
            else if (answer.kind === "cancelled") {
                // The entry that has cancelled a job keeps the runs of the next submission apart from those being stopped.
                const isSameEntry = this.random.nextInteger(2) === 0;
                if (isSameEntry) {
                    this.sendAgainTo(job, entry, this.random.nextInteger(50));
                }
                else {
                    this.sendLater(job, resubmissionDelayMilliseconds);
                }
            }
            else if (answer.kind === "done" && this.random.nextInteger(6) === 0) {
                this.sendLater(job, this.random.nextInteger(latestRepetitionMilliseconds));
            }
        }
        this.seenAnswers = answers.length;
    }
}
