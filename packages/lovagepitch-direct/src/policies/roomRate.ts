/**
 * Load pattern: every worker is full, and jobs wait for room that is freed task by task. The rate at which an entry got
 * room while jobs waited tells how long the next one has to wait. Time without waiting jobs tells nothing, and neither
 * does time without word from the workers: a connection that has become silent frees no room that could be seen.
 */

/** Time constant of the average, in milliseconds of observed time: several tasks end within it on each worker. */
const rateTimeConstantMilliseconds = 1000;

/** Observed time without which the rate is unknown, in milliseconds. */
const minimumObservedMilliseconds = 250;

/** An observation that is older than this is of another load, in milliseconds. */
const maximumAgeMilliseconds = 3000;

/** Part of the known capacity that must have been heard from for an observation to count. */
const minimumHeardShare = 0.5;

/** Average of the room that an entry gets while jobs wait. */
export class RoomRate {
    private rate = 0;
    private weight = 0;
    private observedMilliseconds = 0;
    private observedAt = Number.NEGATIVE_INFINITY;
    private previousAt: number | undefined;

    /**
     * Records one round of placement.
     *
     * @param placedMilliCores - room that was taken in this round
     * @param isContended - true if jobs still wait after the round
     * @param heardShare - part of the known capacity whose agents were heard from recently
     * @param now - current monotonic time, in milliseconds
     */
    public record(placedMilliCores: number, isContended: boolean, heardShare: number, now: number): void {
        const { previousAt } = this;
        this.previousAt = isContended && heardShare >= minimumHeardShare ? now : undefined;
        if (previousAt === undefined || heardShare < minimumHeardShare) {
            return;
        }
        if (now - this.observedAt > maximumAgeMilliseconds) {
            this.rate = 0;
            this.weight = 0;
            this.observedMilliseconds = 0;
        }
        const factor = Math.exp(-(now - previousAt) / rateTimeConstantMilliseconds);
        this.rate = this.rate * factor + placedMilliCores / rateTimeConstantMilliseconds;
        this.weight = this.weight * factor + 1 - factor;
        this.observedMilliseconds += now - previousAt;
        this.observedAt = now;
    }

    /**
     * Records that a task was returned without having been started, so that it did not take the room.
     *
     * @param milliCores - room that it would have taken
     */
    public recordReturn(milliCores: number): void {
        this.rate = Math.max(0, this.rate - milliCores / rateTimeConstantMilliseconds);
    }

    /**
     * Reads the rate.
     *
     * @param now - current monotonic time, in milliseconds
     * @returns thousandths of a core per millisecond; undefined while too little was observed recently
     */
    public read(now: number): number | undefined {
        const isKnown = this.observedMilliseconds >= minimumObservedMilliseconds
            && now - this.observedAt <= maximumAgeMilliseconds;
        return isKnown ? this.rate / this.weight : undefined;
    }
}
