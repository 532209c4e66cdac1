/**
 * Messages between entries about the jobs that they have open, one datagram each, so that a job that a caller submits at a second
 * entry runs at one of them.
 */

/** One process of an entry. */
export interface EntryProcess {
    /** Host and port at which the entry listens. */
    readonly address: string;
    /** Unique to one start of the process. */
    readonly incarnation: string;
}

/** A process that has had a job open, and the number of its submission there. */
export interface JobOwner extends EntryProcess {
    readonly submission: number;
}

/** Id of an open job, the number of its latest submission at the entry and the age of that submission in milliseconds. */
export type OpenJob = readonly [job: string, submission: number, ageMilliseconds: number];

/** Jobs that an entry has had open for some time. Without jobs it tells that the process is alive and has such jobs. */
export interface OpenJobsMessage {
    readonly kind: "open-jobs";
    readonly from: EntryProcess;
    readonly jobs: readonly OpenJob[];
}

/** Names a job, the process that has announced it and the one to which it was submitted since. */
interface ReleaseFields {
    readonly job: string;
    /** Incarnation of the process that has announced the job. */
    readonly owner: string;
    /** Submission that the owner has announced. */
    readonly ownerSubmission: number;
    /** Incarnation of the process to which the job was submitted since. */
    readonly asker: string;
    /** Submission of the job there. */
    readonly askerSubmission: number;
}

/** Asks the owner of a job to end it, because its caller has submitted it to the sender. */
export interface ReleaseRequest extends ReleaseFields {
    readonly kind: "release-job";
    readonly from: EntryProcess;
}

/** Tells that no run of the named submission of a job, or of an earlier one at this entry, is going on or will start. */
export interface ReleaseNotice extends ReleaseFields {
    readonly kind: "job-released";
    readonly from: EntryProcess;
    /** False if no task of the job has started at this entry. */
    readonly mayHaveStarted: boolean;
    /** Other processes that have announced the job to this entry. */
    readonly owners: readonly JobOwner[];
}

/** Names jobs as an announcement does, and asks the receiver for an answer, because it may have been handed them since. */
export interface JobInquiry {
    readonly kind: "inquire-jobs";
    readonly from: EntryProcess;
    readonly jobs: readonly OpenJob[];
}

/** Id of a job and the number of its submission at the asker. */
export type InquiredJob = readonly [job: string, submission: number];

/** Answers an inquiry for the jobs of which the sender has no submission and no run. */
export interface JobInquiryAnswer {
    readonly kind: "jobs-not-open";
    readonly from: EntryProcess;
    /** Incarnation of the process that has asked. */
    readonly asker: string;
    readonly jobs: readonly InquiredJob[];
}

/** Message between entries about open jobs. */
export type OwnershipMessage = OpenJobsMessage | ReleaseRequest | ReleaseNotice | JobInquiry | JobInquiryAnswer;
