/**
 * Checks of a demo run, based on the records of its callers and backend servers.
 */
import { AnswerRecord } from "../checker/answerRecord.js";
import { checkNotRunIsTrue, checkOwnCompleteAnswer } from "../checker/answerRules.js";
import { DeploymentRecord } from "../checker/deploymentRecord.js";
import { checkKeysBoundOnce, checkStartsOnce } from "../checker/executionRules.js";
import type { StartRecord } from "../checker/startRecord.js";
import { checkAnsweredInTime } from "../checker/timeRules.js";
import { type CheckerLimits, documentedLimits, type Violation } from "../checker/violation.js";
import type { RecordedClient } from "../launcher/recordedClient.js";

/** Wide margins, since the processes run in real time on a machine that may be busy. */
const demoLimits: CheckerLimits = {
    ...documentedLimits,
    deadlineMarginMilliseconds: 15_000,
    decisionMarginMilliseconds: 15_000,
};

/**
 * Checks the rules that need no record of process lifetimes and configurations.
 *
 * @param starts - task starts recorded by the backend servers
 * @param clients - clients that ran the jobs
 * @returns all violations
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
