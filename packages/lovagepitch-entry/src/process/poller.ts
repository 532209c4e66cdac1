/**
 * Repeated reading of something, one at a time, with jitter.
 */
import type { RandomSource } from "@lovagepitch/utils/randomSource";

/** Share of the interval by which two processes drift apart, from 0 to 1. */
const jitterShare = 0.2;

/** Runs an action again and again, and at once when asked to. */
export class Poller {
    private timer: NodeJS.Timeout | undefined;
    private isRunning = false;
    private isWanted = false;
    private isStopped = false;

    /**
     * @param intervalMilliseconds - time between the end of one run and the start of the next
     * @param random - source of jitter
     * @param action - what to run; it handles its own failures
     */
    public constructor(
        private readonly intervalMilliseconds: number,
        private readonly random: RandomSource,
        private readonly action: () => Promise<void>,
    ) {}

    /** Runs the action now, or once more when it is running. */
    public run(): void {
        if (this.isStopped) {
            return;
        }
        if (this.isRunning) {
            this.isWanted = true;
            return;
        }
        clearTimeout(this.timer);
        this.isRunning = true;
        void this.action().finally(() => this.finish());
    }

    /** Runs the action no more. */
    public stop(): void {
        this.isStopped = true;
        clearTimeout(this.timer);
    }

    private finish(): void {
        this.isRunning = false;
        if (this.isStopped) {
            return;
        }
        if (this.isWanted) {
            this.isWanted = false;
            this.run();
            return;
        }
        const factor = 1 + jitterShare * (this.random.nextFraction() * 2 - 1);
        this.timer = setTimeout(() => this.run(), this.intervalMilliseconds * factor);
    }
}
