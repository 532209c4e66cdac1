/**
 * Messages between an entry that passes submissions on and the entry that receives them. The first one opens the connection, to the
 * port for agents.
 */
import type { DirectJob, JobAnswer } from "./directJob.js";
import type { EntryProcess } from "./jobOwnership.js";

/** A submission that is passed on. */
export interface ForwardedSubmission {
    /** Unique in the sending process. */
    readonly number: number;
    /** Time since the earliest instant at which the sender may have received it, when the frame was created, in milliseconds. */
    readonly ageMilliseconds: number;
    readonly job: DirectJob;
}

/** A submission whose callers have gone, or that the sender ends because it stops. */
export interface ForwardedWithdrawal {
    readonly number: number;
    readonly job: string;
    /** True when the sender stops and still waits for the answer. */
    readonly isInterrupted: boolean;
}

/** A cancellation at a caller's request. */
export interface ForwardedCancellation {
    readonly job: string;
    readonly route: string;
}

/** Frame from an entry that passes submissions on. */
export interface ForwardingFrame {
    readonly kind: "forwarding";
    readonly from: EntryProcess;
    /** `sentAt` of the newest reply; undefined before the first one, when the frame has no submissions. */
    readonly newestSentAt: number | undefined;
    /** Time from the receipt of that reply to the creation of this frame, in milliseconds. */
    readonly heldMilliseconds: number;
    /** Version of the configuration that the routes of the submissions belong to; 0 without one. */
    readonly configurationVersion: number;
    readonly submissions: readonly ForwardedSubmission[];
    readonly withdrawals: readonly ForwardedWithdrawal[];
    readonly cancellations: readonly ForwardedCancellation[];
}

/** Answer to a submission that was passed on. */
export interface ForwardedAnswer {
    readonly number: number;
    readonly job: string;
    /** Undefined when the submission was declined: the receiver has recorded nothing of it. */
    readonly answer: JobAnswer | undefined;
}

/** Frame back from the entry that receives submissions. */
export interface ForwardingReply {
    readonly kind: "forwarding-reply";
    readonly from: EntryProcess;
    /** Monotonic clock of the receiver, in milliseconds. */
    readonly sentAt: number;
    /** Share of the recent time for which the receiver had work, from 0 to 1. */
    readonly load: number;
    /** False while it takes no submissions of other entries. */
    readonly acceptsSubmissions: boolean;
    readonly configurationVersion: number;
    readonly answers: readonly ForwardedAnswer[];
}
