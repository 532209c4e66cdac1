/**
 * Share of the recent time for which a process had work.
 */
import type { ProcessorTime } from "../model/processorTime.js";

/** Time over which the share is taken, in milliseconds. */
export const loadWindowMilliseconds = 100;

/** Load of a process by its processor time. */
export class ProcessorLoad {
    private windowStartedAt: number | undefined;
    private busyAtStart = 0;
    private latestShare = 0;

    /**
     * @param processorTime - time for which the process has run
     */
    public constructor(private readonly processorTime: ProcessorTime) {}

    /** Share of the latest complete window in which the process had work, from 0 to 1. */
    public get share(): number {
        return this.latestShare;
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
        }
        this.windowStartedAt = now;
        this.busyAtStart = busy;
        return windowStartedAt !== undefined;
    }
}
