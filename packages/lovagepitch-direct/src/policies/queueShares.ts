/**
 * Load pattern: a burst of one queue and a loss of workers leave too little room for all queues of a service. By
 * priority alone, a queue with a less urgent priority or larger jobs gets hardly any room then, although its own demand
 * has not grown. A queue that gets less than its assured part of the room, and asks for more, therefore precedes the
 * others until it gets that part. All other room goes by priority, so no room is kept free.
 */

/**
 * Time constant over which demand and use are averaged, in milliseconds: several jobs of a rare queue arrive within it,
 * and it is shorter than a burst.
 */
const shareWindowMilliseconds = 2000;

/** Longest age of the division in use, in milliseconds. */
const refreshIntervalMilliseconds = 25;

/** A queue without any arrival for this long is forgotten, in milliseconds. */
const forgetAfterMilliseconds = 30_000;

/** Part of what a queue is assured that may be lacking before it counts as short; covers rounding of averages. */
const shortfallTolerance = 0.02;

/** Shares of the queues of a service. */
export interface ShareSettings {
    /** Part of the room that is divided by weight, from 0 to 1; the rest goes by priority. */
    readonly assuredPart: number;
    /** Weights by name of the queue; larger than 0. */
    readonly weights: Readonly<Record<string, number>>;
    /** Weight of every queue that is not named; larger than 0. */
    readonly otherWeight: number;
}

/** Position of a queue in the division of its service's room. */
export type ShareState =
    /** No queue of the service is short. */
    | "uncontended"
    /** It gets less than it is assured and asks for more. */
    | "short"
    /** Another queue is short; this one takes no more than it is assured. */
    | "within"
    /** Another queue is short; this one takes more than it is assured. */
    | "over";

/** Use of the room of a service by one queue, for logs and metrics. */
export interface QueueUse {
    readonly service: string;
    readonly queue: string;
    /** Work that arrives, in cores. */
    readonly demand: number;
    /** Work that is placed, in cores. */
    readonly used: number;
    /** Work that the queue is assured of, in cores. */
    readonly assured: number;
    readonly state: ShareState;
}

interface QueueRow {
    readonly queue: string;
    readonly weight: number;
    /** Averages of the arrived and of the placed work, in core-milliseconds per millisecond. */
    demand: number;
    used: number;
    assured: number;
    state: ShareState;
    arrivedAt: number;
}

interface ServiceRow {
    readonly queues: Map<string, QueueRow>;
    readonly createdAt: number;
    decayedAt: number;
    dividedAt: number;
}

/** Tracks demand and use of each queue as this process sees them, and tells which queues are short of room. */
export class QueueShares {
    private readonly services = new Map<string, ServiceRow>();

    /**
     * @param settings - shares of the queues; undefined if all room goes by priority
     */
    public constructor(private readonly settings: ShareSettings | undefined) {}

    /**
     * Records the arrival of a job.
     *
     * @param service - service that runs the job
     * @param queue - queue (route) of the job
     * @param work - estimated work of all of its tasks, in core-milliseconds
     * @param now - current monotonic time, in milliseconds
     */
    public recordArrival(service: string, queue: string, work: number, now: number): void {
        if (this.settings !== undefined) {
            const row = this.getQueue(this.settings, service, queue, now);
            row.demand += work / shareWindowMilliseconds;
            row.arrivedAt = now;
        }
    }

    /**
     * Records that tasks were placed, or returned without having been started.
     *
     * @param service - service that runs the tasks
     * @param queue - queue (route) of their job
     * @param work - estimated work of the tasks, in core-milliseconds; negative if they were returned
     * @param now - current monotonic time, in milliseconds
     */
    public recordPlacement(service: string, queue: string, work: number, now: number): void {
        if (this.settings !== undefined) {
            const row = this.getQueue(this.settings, service, queue, now);
            row.used = Math.max(0, row.used + work / shareWindowMilliseconds);
        }
    }

    /**
     * Reads the position of a queue.
     *
     * @param service - service that runs its jobs
     * @param queue - name of the queue (route)
     * @param now - current monotonic time, in milliseconds
     * @returns the position; `uncontended` without shares
     */
    public readState(service: string, queue: string, now: number): ShareState {
        const row = this.services.get(service);
        if (row === undefined || this.settings === undefined) {
            return "uncontended";
        }
        if (now - row.dividedAt >= refreshIntervalMilliseconds) {
            divideRoom(row, this.settings, now);
        }
        return row.queues.get(queue)?.state ?? "uncontended";
    }

    /**
     * Lists the use of all queues.
     *
     * @param now - current monotonic time, in milliseconds
     * @returns one item for each queue with recent arrivals; none without shares
     */
    public list(now: number): readonly QueueUse[] {
        const { settings } = this;
        if (settings === undefined) {
            return [];
        }
        return [...this.services].flatMap(([service, row]) => {
            divideRoom(row, settings, now);
            return [...row.queues.values()].map(({ queue, demand, used, assured, state }) => ({
                service,
                queue,
                demand: scale(row, demand, now),
                used: scale(row, used, now),
                assured: scale(row, assured, now),
                state,
            }));
        });
    }

    private getQueue(settings: ShareSettings, service: string, queue: string, now: number): QueueRow {
        let row = this.services.get(service);
        if (row === undefined) {
            row = { queues: new Map(), createdAt: now, decayedAt: now, dividedAt: now };
            this.services.set(service, row);
        }
        decay(row, now);
        let found = row.queues.get(queue);
        if (found === undefined) {
            const weight = Object.hasOwn(settings.weights, queue) ? settings.weights[queue] : undefined;
            found = {
                queue,
                weight: weight ?? settings.otherWeight,
                demand: 0,
                used: 0,
                assured: 0,
                state: "uncontended",
                arrivedAt: now,
            };
            row.queues.set(queue, found);
        }
        return found;
    }
}

function decay(row: ServiceRow, now: number): void {
    const factor = Math.exp(-Math.max(0, now - row.decayedAt) / shareWindowMilliseconds);
    row.decayedAt = now;
    for (const queue of row.queues.values()) {
        queue.demand *= factor;
        queue.used *= factor;
    }
}

/** Corrects an average for the time before the first arrival, which it contains as zero. */
function scale(row: ServiceRow, average: number, now: number): number {
    return average / Math.max(Number.EPSILON, 1 - Math.exp((row.createdAt - now) / shareWindowMilliseconds));
}

/** Divides the assured part of a service's room by weight, and marks the queues that get less than they are assured. */
function divideRoom(row: ServiceRow, { assuredPart }: ShareSettings, now: number): void {
    decay(row, now);
    row.dividedAt = now;
    let room = 0;
    let weights = 0;
    for (const { queue, used, weight, arrivedAt } of [...row.queues.values()]) {
        if (now - arrivedAt > forgetAfterMilliseconds) {
            row.queues.delete(queue);
            continue;
        }
        room += used;
        weights += weight;
    }
    let hasShort = false;
    for (const queue of row.queues.values()) {
        queue.assured = assuredPart * room * queue.weight / weights;
        const isShort = queue.used < Math.min(queue.demand, queue.assured) * (1 - shortfallTolerance);
        queue.state = isShort ? "short" : "uncontended";
        hasShort ||= isShort;
    }
    for (const queue of row.queues.values()) {
        if (hasShort && queue.state !== "short") {
            queue.state = queue.used > queue.assured ? "over" : "within";
        }
    }
}
