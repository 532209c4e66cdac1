/**
 * How fast a queue drains, measured only while something waits.
 */

/** Time constant of the moving average. */
const timeConstantMilliseconds = 2_000;
/** Waiting time before the measured rate is believed. */
const minimumBusyMilliseconds = 250;

/** Starts a second of one work class while its queue is not empty. */
export class DrainRateEstimator {
    private starts = 0;
    private busyMilliseconds = 0;
    private lastObservedAtMilliseconds: number | undefined;

    /**
     * Accounts for the time since the last call.
     *
     * @param nowMilliseconds - the current instant
     * @param hadWaitingTasks - whether tasks waited since the last call
     * @param startedTasks - tasks started since the last call
     */
    public observe(nowMilliseconds: number, hadWaitingTasks: boolean, startedTasks: number): void {
        const elapsed = nowMilliseconds - (this.lastObservedAtMilliseconds ?? nowMilliseconds);
        this.lastObservedAtMilliseconds = nowMilliseconds;
        if (!hadWaitingTasks) {
            return;
        }
        const decay = Math.exp(-elapsed / timeConstantMilliseconds);
        this.starts = this.starts * decay + startedTasks;
        this.busyMilliseconds = this.busyMilliseconds * decay + elapsed;
    }

    /**
     * Reads the rate.
     *
     * @returns starts a millisecond, or undefined when the queue has not been busy for long enough
     */
    public getStartsPerMillisecond(): number | undefined {
        if (this.busyMilliseconds < minimumBusyMilliseconds) {
            return undefined;
        }
        return this.starts / this.busyMilliseconds;
    }
}
