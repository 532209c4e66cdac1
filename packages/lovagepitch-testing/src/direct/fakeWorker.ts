/**
 * Fake worker with leases, capacity and task progress, on the clock of the deployment, with fault injection.
 */
import type { OrderOutcome, ReportedRunEnd, WorkerView } from "@lovagepitch/direct/agent/agentPorts";
import { formatRunKey, type RunIdentity, type StartOrder } from "@lovagepitch/direct/model/frames";
import { addResources, fitsInto, noResources, type Resources } from "@lovagepitch/direct/model/resources";
import type { ViewOutcome, ViewRequest } from "@lovagepitch/direct/process/workerOrders";
import type { Clock } from "@lovagepitch/utils/clock";
import type { DirectRecord } from "./directRecord.js";

/** Time that a worker takes to stop a task. */
const stopDurationMilliseconds = 30;

/** Longest lease that a worker grants, in milliseconds. */
const longestLeaseMilliseconds = 1000;

/** Time after a change of the capacity until which the former one may be filled, in milliseconds; the platform's bounds. */
const capacityNoticeMilliseconds = 3000 + 1500;

/** Unix time at instant 0 of the deployment's clock, in milliseconds. */
const unixMillisecondsAtClockStart = 1_764_000_000_000;

/** Values at which workers' clocks begin are below this one, in milliseconds. */
const maximumClockStart = 9_000_000;

/** Faults of a worker in processing orders and running tasks. */
export interface WorkerFaults {
    /** Orders are executed after this delay, in milliseconds, and get no response; undefined for no fault. */
    orderDelayMilliseconds: number | undefined;
    /** Each so many-th call is executed 2.5 s late and gets no response; undefined for no fault. */
    unansweredCallInterval: number | undefined;
    /** The lease that a view call asks for counts from its execution when it is executed late. */
    lateViewsCountFromArrival: boolean;
    /** The latest start that an order names counts from its execution when it is executed late. */
    lateStartsCountFromArrival: boolean;
    /** Stops are executed after this delay, in milliseconds, and get no response; undefined for no fault. */
    stopDelayMilliseconds: number | undefined;
    /** Stops are rejected, as by an unhealthy worker that answers all other calls. */
    rejectsStops: boolean;
    /** Starts are executed after their latest instant too. */
    ignoresLatestStart: boolean;
    /** Orders are executed without delay, but their responses are lost. */
    dropsResponses: boolean;
    /** No messages pass between the worker and its agent; running tasks continue. */
    isPartitioned: boolean;
    /** Calls are refused as if no process listened, and calls under way break off; running tasks continue. */
    refusesConnections: boolean;
    /** Tasks make no progress. */
    isStalled: boolean;
    /** Every task fails shortly after its start. */
    failsEverything: boolean;
    /** Factor by which tasks take longer; 1 for normal speed. */
    slowdownFactor: number;
    /** Rate of the worker's clock; 1 for an exact one. It is set before the worker gets its first call. */
    clockRate: number;
}

interface RunningTask {
    readonly identity: RunIdentity;
    readonly needs: Resources;
    readonly durationMilliseconds: number;
    /** Progress at which the task crashes the worker, in milliseconds; infinite for other tasks. */
    readonly crashesAtMilliseconds: number;
    progressMilliseconds: number;
    stopsAt: number | undefined;
}

/** One incarnation of a worker. */
export class FakeWorker {
    public readonly faults: WorkerFaults = {
        orderDelayMilliseconds: undefined,
        unansweredCallInterval: undefined,
        lateViewsCountFromArrival: false,
        lateStartsCountFromArrival: false,
        stopDelayMilliseconds: undefined,
        rejectsStops: false,
        ignoresLatestStart: false,
        dropsResponses: false,
        isPartitioned: false,
        refusesConnections: false,
        isStalled: false,
        failsEverything: false,
        slowdownFactor: 1,
        clockRate: 1,
    };
    /** True until the worker crashes. */
    public isUp = true;
    private readonly running = new Map<string, RunningTask>();
    private readonly lastClosedRuns = new Map<string, number>();
    private unacknowledgedEnds: ReportedRunEnd[] = [];
    private calls = 0;
    private endSequence = 0;
    private leaseExpiresAt = 0;
    private highestEpoch = 0;
    private advancedUntil: number;
    private reportedCapacity: Resources;
    /** Earlier capacities, and until when each was in force. */
    private formerCapacities: { readonly capacity: Resources; readonly until: number }[] = [];
    /** Instant of the deployment's clock at which this incarnation's own clock shows 0. */
    private readonly clockOrigin: number;
    /** Start of this incarnation on the deployment's clock, in milliseconds. */
    public readonly bornAtMilliseconds: number;
    /** Start of this incarnation, in Unix milliseconds. */
    public readonly startedAt: number;
    /** Name of this incarnation in the record; ids may repeat. */
    public readonly name: string;

    /**
     * @param id - id of this incarnation; a worker that restarts may keep it
     * @param capacity - resources of the worker
     * @param clock - clock of the deployment
     * @param record - records starts and ends
     * @param getTaskDurationMilliseconds - gives the duration of a run on a healthy worker, in milliseconds
     * @param labels - labels that the worker reports
     * @param getCrashMilliseconds - gives the progress at which a task crashes the worker, in milliseconds; undefined for
     *   a task that does not
     * @param setBackMilliseconds - time by which the wall clock of the machine is set back, in milliseconds
     */
    public constructor(
        public readonly id: string,
        capacity: Resources,
        private readonly clock: Clock,
        private readonly record: DirectRecord,
        private readonly getTaskDurationMilliseconds: (run: RunIdentity) => number,
        public readonly labels: readonly string[] = [],
        private readonly getCrashMilliseconds: (run: RunIdentity) => number | undefined = () => undefined,
        setBackMilliseconds = 0,
    ) {
        this.reportedCapacity = capacity;
        this.advancedUntil = clock.nowMilliseconds();
        this.bornAtMilliseconds = clock.nowMilliseconds();
        this.startedAt = Math.floor(unixMillisecondsAtClockStart + clock.nowMilliseconds() - setBackMilliseconds);
        this.clockOrigin = clock.nowMilliseconds() - (this.startedAt * 7919) % maximumClockStart;
        this.name = `${id}@${this.startedAt}`;
    }

    /** Worker's own clock, in milliseconds; it begins anew with each incarnation, at any value. */
    public get workerClock(): number {
        return (this.clock.nowMilliseconds() - this.clockOrigin) * this.faults.clockRate;
    }

    /** Resources of the worker at present. */
    public get capacity(): Resources {
        return this.reportedCapacity;
    }

    /**
     * Changes the resources of the worker. What runs goes on; the next report shows the change.
     *
     * @param capacity - resources from now on
     */
    public setCapacity(capacity: Resources): void {
        this.advance();
        this.formerCapacities.push({ capacity: this.reportedCapacity, until: this.clock.nowMilliseconds() });
        this.reportedCapacity = capacity;
    }

    /** Tells whether resources exceed the capacity, and all earlier ones that the agent may still take for the present one. */
    private exceedsCapacity(occupied: Resources): boolean {
        const since = this.clock.nowMilliseconds() - capacityNoticeMilliseconds;
        return !fitsInto(occupied, this.reportedCapacity)
            && !this.formerCapacities.some(({ capacity, until }) => until >= since && fitsInto(occupied, capacity));
    }

    /** True while at least one task runs. */
    public get isBusy(): boolean {
        return this.running.size > 0;
    }

    /**
     * Counts a call and tells whether it is one that gets no response.
     *
     * @returns true when the call is executed late
     */
    public isNextCallLate(): boolean {
        this.calls += 1;
        const { unansweredCallInterval: interval } = this.faults;
        return interval !== undefined && this.calls % interval === 0;
    }

    /** Ends this incarnation; its running tasks are lost. */
    public crash(): void {
        this.advance();
        this.goDown(undefined);
    }

    private goDown(cause: RunIdentity | undefined): void {
        this.isUp = false;
        const tasks = [...this.running.values()].map(({ identity }) => identity);
        this.running.clear();
        this.record.recordCrash(this.name, cause, tasks);
        for (const identity of tasks) {
            this.record.recordEnd(this.name, identity, "lost");
        }
    }

    /**
     * Executes a start order.
     *
     * @param order - the run to start, with its needs and specification
     * @param epoch - epoch of the agent that sent the order
     * @param latestStart - latest time to start the run, in milliseconds on this worker's clock
     * @param isOfFormerLife - true if the order was sent to a former incarnation
     * @returns outcome of the order
     */
    public start(order: StartOrder, epoch: number, latestStart: number, isOfFormerLife = false): OrderOutcome {
        this.advance();
        if (epoch < this.highestEpoch) {
            return "outdated-epoch";
        }
        this.highestEpoch = epoch;
        const identity = { job: order.job, task: order.task, run: order.run };
        if (this.running.has(formatRunKey(identity))) {
            this.extendLease(latestStart);
            return "accepted";
        }
        if (order.run <= (this.lastClosedRuns.get(`${order.job}/${order.task}`) ?? 0)) {
            // A start that is rejected as old extends the lease of everything on the worker.
            this.extendLease(latestStart);
            return "superseded";
        }
        if (latestStart <= this.workerClock && !this.faults.ignoresLatestStart) {
            return "rejected";
        }
        this.extendLease(latestStart);
        this.running.set(formatRunKey(identity), {
            identity,
            needs: order.needs,
            durationMilliseconds: this.faults.failsEverything ? 5 : this.getTaskDurationMilliseconds(identity),
            crashesAtMilliseconds: this.getCrashMilliseconds(identity) ?? Number.POSITIVE_INFINITY,
            progressMilliseconds: 0,
            stopsAt: undefined,
        });
        const occupied = [...this.running.values()].reduce((sum, task) => addResources(sum, task.needs), noResources);
        const isWithinCapacity = !this.exceedsCapacity(occupied);
        this.record.recordStart(this.name, identity, order.specification, isWithinCapacity, isOfFormerLife);
        return "accepted";
    }

    /**
     * Executes a stop order.
     *
     * @param run - the run to stop
     * @param epoch - epoch of the agent that sent the order
     * @returns outcome of the order
     */
    public stop(run: RunIdentity, epoch: number): OrderOutcome {
        this.advance();
        if (this.faults.rejectsStops) {
            return "rejected";
        }
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
     * Lists the running tasks and the ends that were not acknowledged yet.
     *
     * @param request - epoch, lease extension and acknowledged ends
     * @returns the view, or a failure if the epoch is outdated
     */
    public view(request: Omit<ViewRequest, "timeoutMilliseconds" | "life">): ViewOutcome {
        this.advance();
        if (request.epoch < this.highestEpoch) {
            return { kind: "outdated-epoch", workerClock: this.workerClock, startedAt: this.startedAt };
        }
        this.highestEpoch = request.epoch;
        if (request.leaseExpiresAt !== undefined) {
            this.extendLease(request.leaseExpiresAt);
        }
        this.unacknowledgedEnds = this.unacknowledgedEnds.filter(end => end.sequence > request.acknowledgedEndSequence);
        const view: WorkerView = {
            workerClock: this.workerClock,
            startedAt: this.startedAt,
            running: [...this.running.values()].map(task => ({
                ...task.identity,
                percent: Math.min(99, Math.floor(task.progressMilliseconds / task.durationMilliseconds * 100)),
            })),
            ended: this.unacknowledgedEnds,
        };
        return { kind: "view", view };
    }

    /** Tells whether there is an end that the agent has not acknowledged. */
    public hasUnacknowledgedEnds(acknowledgedEnds: number): boolean {
        this.advance();
        return this.unacknowledgedEnds.some(end => end.sequence > acknowledgedEnds);
    }

    /** Advances the running tasks up to now in steps of a millisecond, so that their ends are recorded in order. */
    public advance(): void {
        const now = this.clock.nowMilliseconds();
        for (; this.advancedUntil < now && this.isUp; this.advancedUntil += 1) {
            for (const task of [...this.running.values()]) {
                if (this.isUp) {
                    this.advanceTask(task, this.advancedUntil);
                }
            }
        }
        this.advancedUntil = now;
    }

    /** Extends the lease, on the deployment's clock, by at most the longest lease. */
    private extendLease(expiresAtOnWorkerClock: number): void {
        const expiresAt = Math.min(
            expiresAtOnWorkerClock / this.faults.clockRate + this.clockOrigin,
            this.clock.nowMilliseconds() + longestLeaseMilliseconds / this.faults.clockRate,
        );
        this.leaseExpiresAt = Math.max(this.leaseExpiresAt, expiresAt);
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
        if (task.progressMilliseconds >= task.crashesAtMilliseconds) {
            this.goDown(task.identity);
        }
        else if (task.progressMilliseconds >= task.durationMilliseconds) {
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
        this.record.recordEnd(this.name, task.identity, end);
    }

    private closeRun(run: RunIdentity): void {
        const key = `${run.job}/${run.task}`;
        this.lastClosedRuns.set(key, Math.max(run.run, this.lastClosedRuns.get(key) ?? 0));
    }
}
