/**
 * Periodic runs of an action, one at a time, with jitter.
 */
import type { RandomSource } from "./randomSource.js";

/** Largest share of the interval that jitter adds or subtracts. */
const jitterShare = 0.2;

/** Runs an action periodically. */
export class Poller {
    private timer: NodeJS.Timeout | undefined;
    private isRunning = false;
    private isRerunRequested = false;
    private isStopped = false;

    /**
     * @param intervalMilliseconds - mean time from the end of a run to the start of the next
     * @param random - source of jitter
     * @param action - action to run, which must handle its own errors
     */
    public constructor(
        private readonly intervalMilliseconds: number,
        private readonly random: RandomSource,
        private readonly action: () => Promise<void>,
    ) {}

    /** Runs the action now, or once more after the current run. */
    public run(): void {
        if (this.isStopped) {
            return;
        }
        if (this.isRunning) {
            this.isRerunRequested = true;
            return;
        }
        clearTimeout(this.timer);
        this.isRunning = true;
        void this.action().finally(() => this.scheduleNext());
    }

    /** Schedules the first run after one interval. */
    public scheduleRun(): void {
        this.scheduleNext();
    }

    /** Stops further runs. */
    public stop(): void {
        this.isStopped = true;
        clearTimeout(this.timer);
    }

    private scheduleNext(): void {
        this.isRunning = false;
        if (this.isStopped) {
            return;
        }
        if (this.isRerunRequested) {
            this.isRerunRequested = false;
            this.run();
            return;
        }
        const jitter = 1 + jitterShare * (2 * this.random.nextFraction() - 1);
        this.timer = setTimeout(() => this.run(), this.intervalMilliseconds * jitter);
    }
}
