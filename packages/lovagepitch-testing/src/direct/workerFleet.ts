/**
 * Workers of a simulated deployment: their incarnations, crashes, capacities and reports.
 */
import type { WorkerReport } from "@lovagepitch/direct/model/workerStatus";
import type { ManualClock } from "@lovagepitch/utils/clock";
import type { EventQueue } from "../harness/eventQueue.js";
import type { DeploymentParts } from "./deploymentParts.js";
import type { FakeWorker } from "./fakeWorker.js";
import { getAt } from "./getAt.js";
import { WorkerReports } from "./workerReports.js";

/** Time after which a worker that has crashed is back under a new id, in milliseconds. */
const workerReturnMilliseconds = 3200;

/** Current incarnation of each worker. */
export class WorkerFleet {
    public readonly workers: FakeWorker[] = [];
    private readonly reports: WorkerReports;
    private readonly returningWorkers = new Set<number>();
    /** Workers whose reports do not reach their agents. */
    private readonly silencedReports = new Set<number>();

    /**
     * @param parts - creates the workers
     * @param clock - clock of the deployment
     * @param queue - event queue of the deployment
     * @param deliverReport - delivers a report to the agent of a worker
     */
    public constructor(
        private readonly parts: DeploymentParts,
        private readonly clock: ManualClock,
        private readonly queue: EventQueue,
        public readonly deliverReport: (index: number, report: WorkerReport) => void,
    ) {
        this.reports = new WorkerReports(clock);
    }

    /** Adds a worker. */
    public add(): void {
        this.workers.push(this.parts.createWorker(this.workers.length));
    }

    /**
     * Crashes a worker and starts its next incarnation.
     *
     * @param index - index of the worker
     */
    public restart(index: number): void {
        this.workers[index]?.crash();
        this.workers[index] = this.parts.createWorker(index);
    }

    /**
     * Crashes a worker for a cause outside its tasks; it returns later.
     *
     * @param index - index of the worker
     */
    public crash(index: number): void {
        this.get(index).crash();
    }

    /**
     * Changes the capacity of a worker, which its next report shows.
     *
     * @param index - index of the worker
     * @param milliCores - thousandths of a core from now on
     */
    public setCapacity(index: number, milliCores: number): void {
        const worker = this.get(index);
        worker.setCapacity({ ...worker.capacity, milliCores });
    }

    /** Starts the next incarnation of each worker that has crashed since the latest call, after some time. */
    public scheduleReturns(): void {
        this.workers.forEach((worker, index) => {
            worker.advance();
            if (worker.isUp || this.returningWorkers.has(index)) {
                return;
            }
            this.returningWorkers.add(index);
            this.queue.schedule(this.clock.nowMilliseconds() + workerReturnMilliseconds, () => {
                this.returningWorkers.delete(index);
                if (this.workers[index] === worker) {
                    this.workers[index] = this.parts.createWorker(index);
                    this.sendReport(index);
                }
            }, undefined);
        });
    }

    /**
     * Crashes a worker and starts its next incarnation under the same id. Its clock and its numbers begin anew.
     *
     * @param index - index of the worker
     * @param reports - true when the new incarnation reports at once, false when it does at the next interval
     * @param setBackMilliseconds - time by which the wall clock of its machine is set back meanwhile, in milliseconds
     */
    public restartWithSameId(index: number, reports: boolean, setBackMilliseconds = 0): void {
        const former = this.get(index);
        former.crash();
        this.workers[index] = this.parts.createWorker(index, former.id, setBackMilliseconds);
        if (reports) {
            this.sendReport(index);
        }
    }

    /**
     * Makes a worker report that it is draining.
     *
     * @param index - index of the worker
     * @param remainingMilliseconds - minimum time until the worker stops, in milliseconds; undefined if not reported
     */
    public drain(index: number, remainingMilliseconds?: number): void {
        this.reports.startDraining(this.get(index).name, remainingMilliseconds);
        this.sendReport(index);
    }

    /**
     * Starts or ends the loss of a worker's reports.
     *
     * @param index - index of the worker
     * @param areDropped - true to drop them
     */
    public dropReports(index: number, areDropped: boolean): void {
        if (areDropped) {
            this.silencedReports.add(index);
        }
        else {
            this.silencedReports.delete(index);
        }
    }

    /**
     * Creates a report of a worker without sending it.
     *
     * @param index - index of the worker
     * @returns the report
     */
    public createReport(index: number): WorkerReport {
        return this.reports.create(this.get(index));
    }

    /**
     * Sends a report of a worker to its agent, unless the worker is down.
     *
     * @param index - index of the worker
     */
    public sendReport(index: number): void {
        const worker = this.get(index);
        if (worker.isUp && !this.silencedReports.has(index)) {
            this.deliverReport(index, this.reports.create(worker));
        }
    }

    private get(index: number): FakeWorker {
        return getAt(this.workers, index);
    }
}
