/**
 * Share of the recent time for which a process had work.
 */
import type { ProcessorTime } from "../model/processorTime.js";

/** Time over which the share is taken, in milliseconds. */
export const loadWindowMilliseconds = 100;

/** Part of the smoothed share that each window contributes. */
const smoothing = 0.5;

/** Load of a process by its processor time. */
export class ProcessorLoad {
    private windowStartedAt: number | undefined;
    private busyAtStart = 0;
    private latestShare = 0;
    private smoothed = 0;

    /**
     * @param processorTime - time for which the process has run
     */
    public constructor(private readonly processorTime: ProcessorTime) {}

    /** Share of the latest complete window in which the process had work, from 0 to 1. */
    public get share(): number {
        return this.latestShare;
    }

    /** The share, smoothed over some windows: others who decide by it would otherwise all follow each peak and gap. */
    public get smoothedShare(): number {
        return this.smoothed;
    }

    /**
     * Completes a window when it is long enough.
     *
     * @param now - current monotonic time, in milliseconds
     * @returns true when the share has been taken again
     */
    public update(now: number): boolean {
        const { windowStartedAt } = this;
        if (windowStartedAt !== undefined && now - windowStartedAt < loadWindowMilliseconds) {
            return false;
        }
        const busy = this.processorTime.readBusyMilliseconds();
        if (windowStartedAt !== undefined) {
            this.latestShare = Math.min(1, Math.max(0, (busy - this.busyAtStart) / (now - windowStartedAt)));
            this.smoothed += smoothing * (this.latestShare - this.smoothed);
        }
        this.windowStartedAt = now;
        this.busyAtStart = busy;
        return windowStartedAt !== undefined;
    }
}
