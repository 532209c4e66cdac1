/**
 * How fast a queue drains, measured only while something waits.
 */

/** Time constant of the moving average. */
const memoryMilliseconds = 2_000;
/** Waiting time before the measured rate is believed. */
const trustedAfterMilliseconds = 250;

/** Starts a second of one work class while its queue is not empty. */
export class DrainRateEstimator {
    private starts = 0;
    private busyMilliseconds = 0;
    private lastAtMilliseconds: number | undefined;

    /**
     * Accounts for the time since the last call.
     *
     * @param nowMilliseconds - the current instant
     * @param waiting - whether tasks waited since the last call
     * @param started - tasks started since the last call
     */
    public observe(nowMilliseconds: number, waiting: boolean, started: number): void {
        const elapsed = nowMilliseconds - (this.lastAtMilliseconds ?? nowMilliseconds);
        this.lastAtMilliseconds = nowMilliseconds;
        if (!waiting) {
            return;
        }
        const kept = Math.exp(-elapsed / memoryMilliseconds);
        this.starts = this.starts * kept + started;
        this.busyMilliseconds = this.busyMilliseconds * kept + elapsed;
    }

    /**
     * Reads the rate.
     *
     * @returns starts a millisecond, or undefined when the queue has not been busy for long enough
     */
    public startsPerMillisecond(): number | undefined {
        if (this.busyMilliseconds < trustedAfterMilliseconds) {
            return undefined;
        }
        return this.starts / this.busyMilliseconds;
    }
}
