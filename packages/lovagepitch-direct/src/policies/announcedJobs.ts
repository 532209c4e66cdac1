/**
 * What other entries have announced: which jobs they have open, and when each of their processes was last heard.
 */
import type { EntryProcess, JobOwner, OpenJob } from "../model/jobOwnership.js";
import { lostAgentTimeoutMilliseconds } from "../model/timing.js";
import { announcementIntervalMilliseconds } from "./jobAnnouncements.js";

/**
 * Time after the last datagram of a process within which its runs end if the process has ended, in milliseconds. It may have
 * been active until its second next announcement, as one datagram may have been lost.
 */
export const ownerLeaseMilliseconds = 2 * announcementIntervalMilliseconds + lostAgentTimeoutMilliseconds;

/** Time for which a job is remembered, in milliseconds; its owner names it more often. */
const retentionMilliseconds = 5000;

/** Largest number of remembered jobs; bounds the memory to some tens of megabytes. */
const maximumJobs = 65_536;

/** Largest number of remembered processes. */
const maximumProcesses = 4096;

interface Mention extends JobOwner {
    readonly mentionedAt: number;
}

/** Jobs of other entries. */
export class AnnouncedJobs {
    /** Mentions of each job, in the order of the latest ones. */
    private readonly mentions = new Map<string, readonly Mention[]>();
    private readonly heardAt = new Map<string, number>();

    /** Number of remembered jobs. */
    public get size(): number {
        return this.mentions.size;
    }

    /**
     * Records that a process was heard.
     *
     * @param incarnation - incarnation of the process
     * @param now - current monotonic time, in milliseconds
     * @returns true when it is heard for the first time
     */
    public recordHeard(incarnation: string, now: number): boolean {
        const isNew = !this.heardAt.delete(incarnation);
        this.heardAt.set(incarnation, now);
        const [oldest] = this.heardAt.keys();
        if (this.heardAt.size > maximumProcesses && oldest !== undefined) {
            this.heardAt.delete(oldest);
        }
        return isNew;
    }

    /**
     * Tells whether a process has been heard.
     *
     * @param incarnation - incarnation of the process
     * @returns true when it is among the remembered processes
     */
    public isKnown(incarnation: string): boolean {
        return this.heardAt.has(incarnation);
    }

    /**
     * Records an announcement.
     *
     * @param from - process that sent it
     * @param jobs - the jobs and their submissions there
     * @param now - current monotonic time, in milliseconds
     */
    public record(from: EntryProcess, jobs: readonly OpenJob[], now: number): void {
        jobs.forEach(job => this.recordJob(from, job, now));
        for (const [job, mentions] of this.mentions) {
            const isRecent = mentions.some(({ mentionedAt }) => now - mentionedAt <= retentionMilliseconds);
            if (this.mentions.size <= maximumJobs && isRecent) {
                return;
            }
            this.mentions.delete(job);
        }
    }

    /**
     * Lists the processes that have announced a job.
     *
     * @param job - id of the job
     * @param now - current monotonic time, in milliseconds
     * @returns the owners; none if nobody has announced it lately
     */
    public listOwners(job: string, now: number): readonly JobOwner[] {
        return (this.mentions.get(job) ?? []).filter(({ mentionedAt }) => now - mentionedAt <= retentionMilliseconds);
    }

    /**
     * Removes a process from the owners of a job.
     *
     * @param job - id of the job
     * @param owner - process and submission that it has released; a later submission stays
     */
    public remove(job: string, owner: Pick<JobOwner, "incarnation" | "submission">): void {
        const rest = (this.mentions.get(job) ?? []).filter(mention => {
            return mention.incarnation !== owner.incarnation || mention.submission > owner.submission;
        });
        if (rest.length === 0) {
            this.mentions.delete(job);
        }
        else {
            this.mentions.set(job, rest);
        }
    }

    /**
     * Tells whether runs of a process may be going on, as far as its datagrams tell.
     *
     * @param incarnation - incarnation of the process
     * @param now - current monotonic time, in milliseconds
     * @returns false when it has been silent for so long that they have ended if the process has
     */
    public mayBeActive(incarnation: string, now: number): boolean {
        return now - (this.heardAt.get(incarnation) ?? Number.NEGATIVE_INFINITY) <= ownerLeaseMilliseconds;
    }

    private recordJob(from: EntryProcess, [job, submission]: OpenJob, now: number): void {
        const known = this.mentions.get(job) ?? [];
        const own = known.find(({ incarnation }) => incarnation === from.incarnation);
        const others = known.filter(mention => {
            return mention.incarnation !== from.incarnation && now - mention.mentionedAt <= retentionMilliseconds;
        });
        this.mentions.delete(job);
        // Datagrams may arrive in another order.
        const newest = Math.max(submission, own?.submission ?? submission);
        this.mentions.set(job, [...others, { ...from, submission: newest, mentionedAt: now }]);
    }
}
