/**
 * Load pattern: a share of the calls to a worker gets no answer, although the worker serves the others within
 * milliseconds. A start order is repeated as soon as its answer is later than the observed ones make plausible, so that a
 * short task still starts in time. The first call stays open, because a late answer is more frequent than a lost one.
 */

/** Weight of a new answer in the average of answer times, as for retransmission timers of TCP (RFC 6298). */
const averageWeight = 1 / 8;

/** Weight of a new answer in the average deviation, from the same source. */
const deviationWeight = 1 / 4;

/** Number of average deviations that an answer may be late, from the same source. */
const deviationFactor = 4;

/** Least time that an answer may be later than the average, in milliseconds; timers and scheduling are no more exact. */
const granularityMilliseconds = 5;

/** Shortest delay before an order is repeated, in milliseconds; a few answer times of a worker on the same instance. */
const minimumDelayMilliseconds = 10;

/** Longest delay before an order is repeated, in milliseconds, and the one before the first answer. */
const maximumDelayMilliseconds = 30;

/** Estimates from observed answer times when an order is to be repeated. */
export class AnswerTime {
    private averageMilliseconds: number | undefined;
    private deviationMilliseconds = 0;

    /** Time without an answer after which an order is repeated, in milliseconds. */
    public get repeatDelayMilliseconds(): number {
        if (this.averageMilliseconds === undefined) {
            return maximumDelayMilliseconds;
        }
        const delay = this.averageMilliseconds
            + Math.max(granularityMilliseconds, deviationFactor * this.deviationMilliseconds);
        return Math.min(maximumDelayMilliseconds, Math.max(minimumDelayMilliseconds, delay));
    }

    /**
     * Records an answer.
     *
     * @param milliseconds - time between the order and its answer, in milliseconds
     */
    public record(milliseconds: number): void {
        if (this.averageMilliseconds === undefined) {
            this.averageMilliseconds = milliseconds;
            this.deviationMilliseconds = milliseconds / 2;
            return;
        }
        const difference = milliseconds - this.averageMilliseconds;
        this.deviationMilliseconds += deviationWeight * (Math.abs(difference) - this.deviationMilliseconds);
        this.averageMilliseconds += averageWeight * difference;
    }
}
