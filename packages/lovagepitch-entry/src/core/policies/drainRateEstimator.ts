/**
 * Measures how fast a queue drains while tasks wait.
 */

/** Time constant of the moving average. */
const timeConstantMilliseconds = 2_000;
/** Time with waiting tasks after which the measured rate is reliable. */
const minimumBusyMilliseconds = 250;

/** Moving average of the task starts of one work class while its queue is not empty. */
export class DrainRateEstimator {
    private starts = 0;
    private busyMilliseconds = 0;
    private lastObservedAtMilliseconds: number | undefined;

    /**
     * Updates the average with the time since the last call.
     *
     * @param nowMilliseconds - current time, in milliseconds since the epoch
     * @param hadWaitingTasks - whether tasks waited since the last call
     * @param startedTasks - number of tasks started since the last call
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
     * Returns the drain rate.
     *
     * @returns starts per millisecond, or undefined when tasks have not waited for long enough
     */
    public getStartsPerMillisecond(): number | undefined {
        if (this.busyMilliseconds < minimumBusyMilliseconds) {
            return undefined;
        }
        return this.starts / this.busyMilliseconds;
    }
}
