/**
 * Load pattern: urgent jobs arrive together with less urgent ones. What a job's priority means depends on what else
 * arrives at the time: a configured route without requests must not push all others back.
 */

/** Priorities that arrived within this time count, in milliseconds; longer than the gaps between jobs of a rare kind. */
const rankWindowMilliseconds = 5000;

/** How a job's priority compares with those of the jobs that arrived lately for the same service. */
export type PriorityRank =
    /** All have the same priority. */
    | "only"
    /** Others are less urgent, none is more urgent. */
    | "first"
    /** Others are more urgent. */
    | "later";

/** Remembers which priorities arrived lately. */
export class PriorityRanks {
    private readonly arrivals = new Map<string, Map<number, number>>();

    /**
     * Notes an arrival.
     *
     * @param service - service that the job is for
     * @param priority - of the job; 0 is the most urgent
     * @param now - the time, in milliseconds
     */
    public record(service: string, priority: number, now: number): void {
        const arrivals = this.arrivals.get(service) ?? new Map<number, number>();
        this.arrivals.set(service, arrivals.set(priority, now));
    }

    /**
     * Compares a priority with those that arrived lately.
     *
     * @param service - service that the job is for
     * @param priority - of the job
     * @param now - the time, in milliseconds
     * @returns its rank
     */
    public rank(service: string, priority: number, now: number): PriorityRank {
        let hasLessUrgent = false;
        for (const [otherPriority, arrivedAt] of this.arrivals.get(service) ?? []) {
            if (now - arrivedAt > rankWindowMilliseconds) {
                continue;
            }
            if (otherPriority < priority) {
                return "later";
            }
            hasLessUrgent ||= otherPriority > priority;
        }
        return hasLessUrgent ? "first" : "only";
    }
}
