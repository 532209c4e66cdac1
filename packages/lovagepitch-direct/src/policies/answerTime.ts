/**
 * Load pattern: a share of the calls to a worker gets no answer, although the worker serves the others within
 * milliseconds. A call counts as unanswered as soon as its answer is later than the observed answers make plausible, so
 * that a short task can still be started in time.
 */

/** Weight of a new answer in the average of answer times, as for retransmission timers of TCP (RFC 6298). */
const averageWeight = 1 / 8;

/** Weight of a new answer in the average deviation, from the same source. */
const deviationWeight = 1 / 4;

/** Number of average deviations that an answer may be late, from the same source. */
const deviationFactor = 4;

/** Shortest timeout, in milliseconds; a process is not scheduled more precisely than this on a loaded instance. */
const minimumTimeoutMilliseconds = 15;

/** Longest timeout, in milliseconds, and the one before the first answer. */
const maximumTimeoutMilliseconds = 40;

/** Estimates from observed answer times when a call counts as unanswered. */
export class AnswerTime {
    private averageMilliseconds: number | undefined;
    private deviationMilliseconds = 0;

    /** Time after which a call counts as unanswered, in milliseconds. */
    public get timeoutMilliseconds(): number {
        if (this.averageMilliseconds === undefined) {
            return maximumTimeoutMilliseconds;
        }
        const timeout = this.averageMilliseconds + deviationFactor * this.deviationMilliseconds;
        return Math.round(Math.min(maximumTimeoutMilliseconds, Math.max(minimumTimeoutMilliseconds, timeout)));
    }

    /**
     * Records an answer.
     *
     * @param milliseconds - time between the call and its answer
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
