/**
 * Input of the checker.
 */
import type { AnswerRecord } from "./answerRecord.js";
import type { DeploymentRecord } from "./deploymentRecord.js";
import type { StartRecord } from "./startRecord.js";

/** Records of one test run: what backend servers, callers and the test harness observed. */
export interface RunRecord {
    readonly starts: StartRecord;
    readonly answers: AnswerRecord;
    readonly deployment: DeploymentRecord;
    /** End of the run, in milliseconds since the epoch. */
    readonly endedAtMilliseconds: number;
}
