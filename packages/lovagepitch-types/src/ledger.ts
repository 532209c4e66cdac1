/**
 * State that survives a graceful shutdown: an agent's ledger and an entry's finished answers.
 */
import type { Incarnation, SubmissionKey } from "./identity.js";
import type { JobAnswer } from "./job.js";
import type { TaskReport } from "./peerMessage.js";

/** Records of one submission in an agent's ledger. */
export interface LedgerSubmission {
    readonly submission: SubmissionKey;
    readonly reports: readonly TaskReport[];
}

/** Content of the object that an agent writes to the object store when it shuts down. */
export interface LedgerHandover {
    readonly incarnation: Incarnation;
    readonly submissions: readonly LedgerSubmission[];
    /** Highest sequence number of the records evicted from the ledger, by incarnation of the owner entry. */
    readonly lowWaterMarks: { readonly [owner: Incarnation]: number };
}

/** A finished submission and its answer. */
export interface AnswerRecord {
    readonly submission: SubmissionKey;
    readonly jobDigest: string;
    readonly answer: JobAnswer;
}

/** Content of the object that an entry writes to the object store when it shuts down. */
export interface AnswersHandover {
    readonly incarnation: Incarnation;
    readonly answers: readonly AnswerRecord[];
}
