/**
 * Jobs of which runs were ordered under an earlier submission. A caller whose answer was lost submits its job again, and
 * must not be told that the job has not run.
 */

/** Time for which a job is remembered, in milliseconds; a caller that submits its job again does so within seconds. */
const retentionMilliseconds = 30_000;

/** Largest number of remembered jobs; bounds the memory to some megabytes. */
const maximumJobs = 16_384;

/** Jobs of ended submissions whose tasks may have started, in the order in which the submissions ended. */
export class OrderedJobs {
    private readonly endedAt = new Map<string, number>();

    /** Number of remembered jobs. */
    public get size(): number {
        return this.endedAt.size;
    }

    /**
     * Remembers a job whose submission has ended.
     *
     * @param job - id of the job
     * @param now - current monotonic time, in milliseconds
     */
    public record(job: string, now: number): void {
        this.endedAt.delete(job);
        this.endedAt.set(job, now);
        for (const [other, endedAt] of this.endedAt) {
            if (this.endedAt.size <= maximumJobs && now - endedAt <= retentionMilliseconds) {
                return;
            }
            this.endedAt.delete(other);
        }
    }

    /**
     * Tells whether tasks of a job may have started under an earlier submission.
     *
     * @param job - id of the job
     * @param now - current monotonic time, in milliseconds
     * @returns true when such a submission has ended recently
     */
    public has(job: string, now: number): boolean {
        return now - (this.endedAt.get(job) ?? Number.NEGATIVE_INFINITY) <= retentionMilliseconds;
    }
}
