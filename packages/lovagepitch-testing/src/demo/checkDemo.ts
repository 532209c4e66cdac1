/**
 * The checker over what the demo's callers and backend servers saw.
 */
import { AnswerRecord } from "../checker/answerRecord.js";
import { checkNotRunIsTrue, checkOwnCompleteAnswer } from "../checker/answerRules.js";
import { DeploymentRecord } from "../checker/deploymentRecord.js";
import { checkKeysBoundOnce, checkStartsOnce } from "../checker/executionRules.js";
import type { StartRecord } from "../checker/startRecord.js";
import { checkAnsweredInTime } from "../checker/timeRules.js";
import { type CheckerLimits, documentedLimits, type Violation } from "../checker/violation.js";
import type { RecordedClient } from "../launcher/recordedClient.js";

/** Real time on a busy machine, so only generous bounds. */
const demoLimits: CheckerLimits = {
    ...documentedLimits,
    deadlineMarginMilliseconds: 15_000,
    decisionMarginMilliseconds: 15_000,
};

/**
 * Judges the rules that can be judged without knowing each process.
 *
 * @param starts - starts at the backend servers
 * @param clients - the callers
 * @returns every violation
 */
export function checkDemo(starts: StartRecord, clients: readonly RecordedClient[]): readonly Violation[] {
    const answers = new AnswerRecord();
    for (const request of clients.flatMap(client => client.answers.requests)) {
        answers.recordRequest(request);
    }
    const run = { starts, answers, deployment: new DeploymentRecord(), endedAtMilliseconds: Date.now() };
    return [
        ...checkStartsOnce(starts),
        ...checkKeysBoundOnce(answers),
        ...checkOwnCompleteAnswer(starts, answers),
        ...checkNotRunIsTrue(starts, answers),
        ...checkAnsweredInTime(run, demoLimits),
    ];
}
