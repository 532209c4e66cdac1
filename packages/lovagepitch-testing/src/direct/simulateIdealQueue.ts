/**
 * Simulation of an ideal central queue for a mixed load, as the figure that policies are compared with. It has no message
 * latency and knows the run time of each task, the speed of each worker and the objective of each job. Each task of a job
 * gets a reservation on the worker on which it starts first, of several the slowest; a job for which that is not possible
 * in time is refused at once. It is not a proven bound, because it takes one job after the other in a given order.
 */
import type { WorkerKind } from "./directDeploymentOptions.js";

/** A job with run times that are known in advance. */
export interface IdealJob {
    /** Arrival, in milliseconds. */
    readonly arrivedAt: number;
    /** Cores of each task, in thousandths. */
    readonly milliCores: number;
    /** Run time of each task at normal speed, in milliseconds. */
    readonly taskDurations: readonly number[];
    /** Time from its arrival until its end, in milliseconds, within which it is in time. */
    readonly objectiveMilliseconds: number;
}

interface Reservation {
    readonly startsAt: number;
    readonly endsAt: number;
    readonly milliCores: number;
}

interface IdealWorker {
    readonly speed: number;
    readonly milliCores: number;
    reservations: Reservation[];
}

/**
 * Simulates a load.
 *
 * @param jobs - jobs of the load
 * @param order - positions of the jobs in the order in which they get reservations; an order other than that of arrival
 *   assumes that later arrivals are known
 * @param workers - size and speed of each worker
 * @param milliCores - cores of a worker of size 1, in thousandths
 * @returns for each job, in the same order, whether it was done in time; the others were refused
 */
export function simulateIdealQueue(
    jobs: readonly IdealJob[],
    order: readonly number[],
    workers: readonly Pick<WorkerKind, "size" | "speed">[],
    milliCores: number,
): readonly boolean[] {
    const idealWorkers = workers
        .map((kind): IdealWorker => ({ speed: kind.speed, milliCores: milliCores * kind.size, reservations: [] }))
        .sort((left, right) => left.speed - right.speed);
    const isInTime = jobs.map(() => false);
    for (const index of order) {
        const job = jobs[index];
        isInTime[index] = job !== undefined && reserveJob(job, idealWorkers);
    }
    return isInTime;
}

/** Reserves room for all tasks of a job, the longest first, or for none of them. */
function reserveJob(job: IdealJob, workers: readonly IdealWorker[]): boolean {
    const before = workers.map(worker => worker.reservations);
    for (const duration of [...job.taskDurations].sort((left, right) => right - left)) {
        const latestEnd = job.arrivedAt + job.objectiveMilliseconds;
        let best: { readonly worker: IdealWorker; readonly startsAt: number } | undefined;
        for (const worker of workers) {
            const latestStart = latestEnd - duration / worker.speed;
            const startsAt = findStart(worker, job, duration / worker.speed, latestStart);
            if (startsAt !== undefined && (best === undefined || startsAt < best.startsAt)) {
                best = { worker, startsAt };
            }
        }
        if (best === undefined) {
            workers.forEach((worker, index) => worker.reservations = before[index] ?? []);
            return false;
        }
        const { worker, startsAt } = best;
        const reservation = { startsAt, endsAt: startsAt + duration / worker.speed, milliCores: job.milliCores };
        worker.reservations = [...worker.reservations, reservation];
    }
    return true;
}

/** Finds the earliest instant at which a worker has room for the whole run of a task. */
function findStart(worker: IdealWorker, job: IdealJob, duration: number, latestStart: number): number | undefined {
    const relevant = worker.reservations.filter(other => {
        return other.endsAt > job.arrivedAt && other.startsAt < latestStart + duration;
    });
    const instants = [job.arrivedAt, ...relevant.map(({ endsAt }) => endsAt)]
        .filter(instant => instant <= latestStart)
        .sort((left, right) => left - right);
    return instants.find(startsAt => {
        const overlapping = relevant.filter(other => {
            return other.startsAt < startsAt + duration && other.endsAt > startsAt;
        });
        const checkpoints = [startsAt, ...overlapping.map(other => other.startsAt)].filter(at => at >= startsAt);
        return checkpoints.every(at => {
            const used = overlapping.reduce((sum, other) => {
                return sum + (other.startsAt <= at && other.endsAt > at ? other.milliCores : 0);
            }, 0);
            return used + job.milliCores <= worker.milliCores;
        });
    });
}
