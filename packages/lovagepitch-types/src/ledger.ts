/**
 * What outlives a planned stop: an agent's ledger, and the finished answers of an entry.
 */
import type { Incarnation, SubmissionKey } from "./identity.js";
import type { JobAnswer } from "./job.js";
import type { TaskReport } from "./peerMessage.js";

/** Records of one submission in an agent's ledger. */
export interface LedgerSubmission {
    readonly submission: SubmissionKey;
    readonly reports: readonly TaskReport[];
}

/** The object that a stopping agent leaves behind. */
export interface LedgerHandover {
    readonly incarnation: Incarnation;
    readonly submissions: readonly LedgerSubmission[];
    /** Highest dropped sequence number of each keeper incarnation. */
    readonly lowWaterMarks: { readonly [keeper: Incarnation]: number };
}

/** One finished submission of a stopping entry. */
export interface AnswerRecord {
    readonly submission: SubmissionKey;
    readonly jobDigest: string;
    readonly answer: JobAnswer;
}

/** The object that a stopping entry leaves behind. */
export interface AnswersHandover {
    readonly incarnation: Incarnation;
    readonly answers: readonly AnswerRecord[];
}
