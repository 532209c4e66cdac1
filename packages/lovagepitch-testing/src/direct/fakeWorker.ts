/**
 * A worker with leases, capacity and progress, on the deployment's clock, with faults that can be switched on.
 */
import type { OrderOutcome, ReportedRunEnd, WorkerView } from "@lovagepitch/direct/agent/agentPorts";
import { formatRunKey, type RunIdentity, type StartOrder } from "@lovagepitch/direct/model/frames";
import { addResources, fitsInto, noResources, type Resources } from "@lovagepitch/direct/model/resources";
import type { ViewOutcome, ViewRequest } from "@lovagepitch/direct/process/workerOrders";
import type { Clock } from "@lovagepitch/utils/clock";
import type { DirectRecord } from "./directRecord.js";

/** Milliseconds that a worker takes to carry out a stop. */
const stopDurationMilliseconds = 30;

/** How a worker treats orders and tasks. */
export interface WorkerFaults {
    /** Orders get no answer and are carried out this much later, in milliseconds; undefined for none. */
    orderDelayMilliseconds: number | undefined;
    /** Orders are carried out at once, but their answers are lost. */
    dropsResponses: boolean;
    /** Nothing reaches the worker and nothing comes back; tasks go on. */
    isPartitioned: boolean;
    /** Tasks make no progress. */
    isStalled: boolean;
    /** Every task fails soon after its start. */
    failsEverything: boolean;
    /** Tasks take this many times as long. */
    slowdownFactor: number;
}

interface RunningTask {
    readonly identity: RunIdentity;
    readonly needs: Resources;
    readonly durationMilliseconds: number;
    progressMilliseconds: number;
    stopsAt: number | undefined;
}

/** One life of a worker. */
export class FakeWorker {
    public readonly faults: WorkerFaults = {
        orderDelayMilliseconds: undefined,
        dropsResponses: false,
        isPartitioned: false,
        isStalled: false,
        failsEverything: false,
        slowdownFactor: 1,
    };
    /** True until the worker crashes. */
    public isUp = true;
    private readonly running = new Map<string, RunningTask>();
    private readonly lastClosedRuns = new Map<string, number>();
    private unacknowledgedEnds: ReportedRunEnd[] = [];
    private endSequence = 0;
    private leaseExpiresAt = 0;
    private highestEpoch = 0;
    private advancedUntil: number;

    /**
     * @param id - names this life
     * @param capacity - what it has
     * @param clock - the deployment's clock
     * @param record - is told of starts and ends
     * @param getTaskDurationMilliseconds - the run time of a task on a sound worker, in milliseconds
     */
    public constructor(
        public readonly id: string,
        public readonly capacity: Resources,
        private readonly clock: Clock,
        private readonly record: DirectRecord,
        private readonly getTaskDurationMilliseconds: (run: RunIdentity) => number,
    ) {
        this.advancedUntil = clock.nowMilliseconds();
    }

    /** True while something runs. */
    public get isBusy(): boolean {
        return this.running.size > 0;
    }

    /** Ends this life; everything that runs ends with it. */
    public crash(): void {
        this.advance();
        this.isUp = false;
        for (const task of this.running.values()) {
            this.record.recordEnd(this.id, task.identity, "lost");
        }
        this.running.clear();
    }

    /**
     * Carries out a start.
     *
     * @param order - the task
     * @param epoch - of the sender
     * @param latestStart - on this worker's clock
     * @returns the answer
     */
    public start(order: StartOrder, epoch: number, latestStart: number): OrderOutcome {
        this.advance();
        if (epoch < this.highestEpoch) {
            return "outdated-epoch";
        }
        this.highestEpoch = epoch;
        const identity = { job: order.job, task: order.task, run: order.run };
        if (this.running.has(formatRunKey(identity))) {
            return "accepted";
        }
        if (order.run <= (this.lastClosedRuns.get(`${order.job}/${order.task}`) ?? 0)) {
            return "superseded";
        }
        if (latestStart <= this.clock.nowMilliseconds()) {
            return "rejected";
        }
        this.leaseExpiresAt = Math.max(this.leaseExpiresAt, latestStart);
        this.running.set(formatRunKey(identity), {
            identity,
            needs: order.needs,
            durationMilliseconds: this.faults.failsEverything ? 5 : this.getTaskDurationMilliseconds(identity),
            progressMilliseconds: 0,
            stopsAt: undefined,
        });
        const occupied = [...this.running.values()].reduce((sum, task) => addResources(sum, task.needs), noResources);
        this.record.recordStart(this.id, identity, order.specification, fitsInto(occupied, this.capacity));
        return "accepted";
    }

    /**
     * Carries out a stop.
     *
     * @param run - the run
     * @param epoch - of the sender
     * @returns the answer
     */
    public stop(run: RunIdentity, epoch: number): OrderOutcome {
        this.advance();
        if (epoch < this.highestEpoch) {
            return "outdated-epoch";
        }
        this.highestEpoch = epoch;
        this.closeRun(run);
        const task = this.running.get(formatRunKey(run));
        if (task !== undefined) {
            task.stopsAt ??= this.clock.nowMilliseconds() + stopDurationMilliseconds;
        }
        return "accepted";
    }

    /**
     * Lists what runs and what has ended.
     *
     * @param request - what is asked
     * @returns the view
     */
    public view(request: ViewRequest): ViewOutcome {
        this.advance();
        if (request.epoch < this.highestEpoch) {
            return { kind: "outdated-epoch", workerClock: this.clock.nowMilliseconds() };
        }
        if (request.leaseExpiresAt !== undefined) {
            this.highestEpoch = request.epoch;
            this.leaseExpiresAt = Math.max(this.leaseExpiresAt, request.leaseExpiresAt);
        }
        this.unacknowledgedEnds = this.unacknowledgedEnds.filter(end => end.sequence > request.acknowledgedEndSequence);
        const view: WorkerView = {
            workerClock: this.clock.nowMilliseconds(),
            running: [...this.running.values()].map(task => ({
                ...task.identity,
                percent: Math.min(99, Math.floor(task.progressMilliseconds / task.durationMilliseconds * 100)),
            })),
            ended: this.unacknowledgedEnds,
        };
        return { kind: "view", view };
    }

    /** True when an end is listed that was not acknowledged. */
    public hasUnacknowledgedEnds(acknowledgedEnds: number): boolean {
        this.advance();
        return this.unacknowledgedEnds.some(end => end.sequence > acknowledgedEnds);
    }

    /** Lets tasks work up to now, millisecond by millisecond, so that ends come in order. */
    public advance(): void {
        const now = this.clock.nowMilliseconds();
        for (; this.advancedUntil < now && this.isUp; this.advancedUntil += 1) {
            for (const task of [...this.running.values()]) {
                this.advanceTask(task, this.advancedUntil);
            }
        }
        this.advancedUntil = now;
    }

    private advanceTask(task: RunningTask, at: number): void {
        if (at > this.leaseExpiresAt) {
            this.endTask(task, "lost");
            return;
        }
        if (task.stopsAt !== undefined && at >= task.stopsAt) {
            this.endTask(task, "stopped");
            return;
        }
        task.progressMilliseconds += this.faults.isStalled ? 0 : 1 / this.faults.slowdownFactor;
        if (task.progressMilliseconds >= task.durationMilliseconds) {
            this.endTask(
                task,
                this.faults.failsEverything || this.record.isFailingJob(task.identity.job) ? "failed" : "succeeded",
            );
        }
    }

    private endTask(task: RunningTask, end: ReportedRunEnd["end"]): void {
        this.running.delete(formatRunKey(task.identity));
        this.closeRun(task.identity);
        this.endSequence += 1;
        this.unacknowledgedEnds.push({ ...task.identity, sequence: this.endSequence, end });
        this.record.recordEnd(this.id, task.identity, end);
    }

    private closeRun(run: RunIdentity): void {
        const key = `${run.job}/${run.task}`;
        this.lastClosedRuns.set(key, Math.max(run.run, this.lastClosedRuns.get(key) ?? 0));
    }
}
