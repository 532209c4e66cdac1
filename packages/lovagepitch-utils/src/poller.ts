/**
 * Repetition of an action, one run at a time, with jitter.
 */
import type { RandomSource } from "./randomSource.js";

/** Largest part of the pause that jitter adds or takes away. */
const jitterShare = 0.2;

/** Runs an action again and again. */
export class Poller {
    private timer: NodeJS.Timeout | undefined;
    private isRunning = false;
    private isRerunRequested = false;
    private isStopped = false;

    /**
     * @param intervalMilliseconds - mean pause between two runs
     * @param random - source of jitter
     * @param action - the action; it handles its own failures
     */
    public constructor(
        private readonly intervalMilliseconds: number,
        private readonly random: RandomSource,
        private readonly action: () => Promise<void>,
    ) {}

    /** Runs the action now, or once more after the present run. */
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

    /** Plans the first run after one pause. */
    public scheduleRun(): void {
        this.scheduleNext();
    }

    /** Ends the repetition. */
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
