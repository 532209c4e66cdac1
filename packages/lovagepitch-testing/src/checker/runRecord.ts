/**
 * The records of one run, as the checker gets them.
 */
import type { AnswerRecord } from "./answerRecord.js";
import type { DeploymentRecord } from "./deploymentRecord.js";
import type { StartRecord } from "./startRecord.js";

/** What was seen from outside, and when the run ended. */
export interface RunRecord {
    readonly starts: StartRecord;
    readonly answers: AnswerRecord;
    readonly deployment: DeploymentRecord;
    /** End of the run, in milliseconds since the epoch. */
    readonly endedAtMilliseconds: number;
}
