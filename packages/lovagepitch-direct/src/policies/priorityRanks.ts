/**
 * Load pattern: urgent jobs arrive together with less urgent ones. A job's priority is compared only with those of jobs
 * that arrived recently, so that a configured route without requests does not demote all other routes.
 */

/** Age up to which an arrival counts, in milliseconds; longer than the gaps between jobs of a rare kind. */
const rankWindowMilliseconds = 5000;

/** A job's priority compared with those of the jobs that arrived recently for the same service. */
export type PriorityRank =
    /** All have the same priority. */
    | "only"
    /** Others are less urgent, none is more urgent. */
    | "first"
    /** Others are more urgent. */
    | "later";

/** Tracks which priorities arrived recently for each service. */
export class PriorityRanks {
    private readonly arrivals = new Map<string, Map<number, number>>();

    /**
     * Records the arrival of a job.
     *
     * @param service - service that runs the job
     * @param priority - priority of the job; 0 is the most urgent
     * @param now - current monotonic time, in milliseconds
     */
    public record(service: string, priority: number, now: number): void {
        const arrivals = this.arrivals.get(service) ?? new Map<number, number>();
        this.arrivals.set(service, arrivals.set(priority, now));
    }

    /**
     * Compares a priority with those that arrived recently.
     *
     * @param service - service that runs the job
     * @param priority - priority of the job; 0 is the most urgent
     * @param now - current monotonic time, in milliseconds
     * @returns the rank among recent arrivals of the service
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
