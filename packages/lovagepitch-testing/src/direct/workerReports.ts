/**
 * Periodic reports of simulated workers to their agents.
 */
import type { WorkerReport } from "@lovagepitch/direct/model/workerStatus";
import type { ManualClock } from "@lovagepitch/utils/clock";
import { testedService } from "./defaultJob.js";
import type { FakeWorker } from "./fakeWorker.js";

/** Interval between two reports of a worker. */
export const reportIntervalMilliseconds = 1500;

/** Creates reports and records which workers drain. */
export class WorkerReports {
    private readonly drainEndTimes = new Map<string, number | undefined>();
    /** Sequence number of the latest report, by incarnation. */
    private readonly sequences = new Map<string, number>();

    /**
     * @param clock - clock of the deployment
     */
    public constructor(private readonly clock: ManualClock) {}

    /**
     * Lets a worker report from now on that it is draining.
     *
     * @param worker - name of the worker's incarnation
     * @param remainingMilliseconds - minimum time until the worker stops, in milliseconds; undefined if not reported
     */
    public startDraining(worker: string, remainingMilliseconds: number | undefined): void {
        this.drainEndTimes.set(
            worker,
            remainingMilliseconds === undefined ? undefined : this.clock.nowMilliseconds() + remainingMilliseconds,
        );
    }

    /**
     * Creates the next report of a worker.
     *
     * @param worker - worker that reports
     * @returns the report
     */
    public create(worker: FakeWorker): WorkerReport {
        const sequence = (this.sequences.get(worker.name) ?? 0) + 1;
        this.sequences.set(worker.name, sequence);
        const now = this.clock.nowMilliseconds();
        const endsAt = this.drainEndTimes.get(worker.name);
        return {
            id: worker.id,
            startedAt: worker.startedAt,
            service: testedService,
            capacity: worker.capacity,
            labels: worker.labels,
            isDraining: this.drainEndTimes.has(worker.name),
            drainRemainingMilliseconds: endsAt === undefined ? undefined : endsAt - now,
            workerClock: worker.workerClock,
            sequence,
        };
    }
}
