/**
 * Schedule by which an entry tells the others which jobs it has had open for some time.
 */
import type { OpenJob } from "../model/jobOwnership.js";
import { reactionAllowanceMilliseconds } from "../model/timing.js";

/**
 * Age at which a job is announced, in milliseconds. Both of its first announcements are sent before its caller, whose
 * connection may have broken just after the submission, submits it elsewhere.
 */
export const announcedAfterMilliseconds = 1000;

/** Time between two announcements while there are such jobs, in milliseconds. */
export const announcementIntervalMilliseconds = 100;

/** Time in which each entry that announces jobs is heard, although a datagram is lost, in milliseconds. */
export const listeningMilliseconds = 2 * announcementIntervalMilliseconds + reactionAllowanceMilliseconds;

/** Number of consecutive announcements that first name a job, because datagrams get lost. */
const firstMentions = 2;

/** Time after which a job is named again, for entries that have started since, in milliseconds. */
export const repetitionMilliseconds = 2000;

/** Longest id that is announced, in characters; one datagram holds it. */
const maximumIdLength = 256;

/** Room for the ids in one datagram, in bytes of UTF-8; with the other fields it fits into one packet. */
const maximumJobBytes = 1000;

interface Mentions {
    readonly submission: number;
    readonly count: number;
    readonly nextAt: number;
}

/** A job that is open at the entry. */
export interface AnnouncedJob {
    readonly job: string;
    readonly submission: number;
    readonly acceptedAt: number;
    /** Earliest instant at which the latest submission may have been sent. */
    readonly submittedAt: number;
}

/** Remembers which jobs have been announced. */
export class JobAnnouncements {
    private mentions = new Map<string, Mentions>();
    private latestAt = Number.NEGATIVE_INFINITY;
    private signsOfLife = 0;

    /**
     * Has all jobs announced again at once.
     *
     * @param isForAll - true if the other entries are to hear of this one even if it has no such jobs
     */
    public repeat(isForAll: boolean): void {
        this.mentions.clear();
        this.latestAt = Number.NEGATIVE_INFINITY;
        if (isForAll) {
            this.signsOfLife = firstMentions;
        }
    }

    /**
     * Lists what is to be announced now.
     *
     * @param openJobs - open jobs of the entry, in the order of their arrival
     * @param now - current monotonic time, in milliseconds
     * @returns the jobs of each datagram; one empty list is a sign of life, no list means that nothing is to be sent
     */
    public take(openJobs: Iterable<AnnouncedJob>, now: number): readonly (readonly OpenJob[])[] {
        if (now - this.latestAt < announcementIntervalMilliseconds) {
            return [];
        }
        const previous = this.mentions;
        this.mentions = new Map();
        const due: OpenJob[] = [];
        for (const { job, submission, acceptedAt, submittedAt } of openJobs) {
            const isYoung = now - Math.min(acceptedAt, submittedAt) < announcedAfterMilliseconds;
            if (isYoung || job.length > maximumIdLength) {
                continue;
            }
            const known = previous.get(job);
            const isKnown = known?.submission === submission;
            if (isKnown && known.nextAt > now) {
                this.mentions.set(job, known);
                continue;
            }
            due.push([job, submission, Math.round(now - submittedAt)]);
            const count = (isKnown ? known.count : 0) + 1;
            const nextAt = count < firstMentions ? now : now + repetitionMilliseconds;
            this.mentions.set(job, { submission, count, nextAt });
        }
        if (this.mentions.size === 0 && this.signsOfLife === 0) {
            return [];
        }
        this.signsOfLife = Math.max(0, this.signsOfLife - 1);
        this.latestAt = now;
        return divideIntoDatagrams(due);
    }
}

/**
 * Divides jobs into datagrams.
 *
 * @param jobs - jobs as messages name them
 * @returns the jobs of each datagram; one empty list without jobs
 */
export function divideIntoDatagrams<Job extends readonly unknown[]>(jobs: readonly Job[]): readonly (readonly Job[])[] {
    const parts: Job[][] = [];
    let part: Job[] = [];
    let bytes = 0;
    for (const job of jobs) {
        const jobBytes = Buffer.byteLength(JSON.stringify(job)) + 1;
        if (part.length > 0 && bytes + jobBytes > maximumJobBytes) {
            parts.push(part);
            part = [];
            bytes = 0;
        }
        part.push(job);
        bytes += jobBytes;
    }
    return [...parts, part];
}
