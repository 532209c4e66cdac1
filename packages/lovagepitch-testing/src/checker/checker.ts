/**
 * The one checker of every failure test, in one process or many: it judges what was seen from outside by seven rules.
 */
import { checkNotRunIsTrue, checkOwnCompleteAnswer } from "./answerRules.js";
import { checkConfigurationInForce, checkPlannedStopsCutNothing } from "./configurationRules.js";
import { checkKeysBindOnce, checkNoStartAfterLeaving, checkPermittedPlace, checkStartsOnce } from "./executionRules.js";
import type { RunRecord } from "./runRecord.js";
import { checkAnsweredInTime } from "./timeRules.js";
import type { CheckerLimits, Violation } from "./violation.js";

/**
 * Judges a run.
 *
 * @param run - its records
 * @param limits - the stated times
 * @returns every violation, in the order of the rules
 */
export function checkRun(run: RunRecord, limits: CheckerLimits): readonly Violation[] {
    return [
        ...checkStartsOnce(run.starts),
        ...checkKeysBindOnce(run.answers),
        ...checkPermittedPlace(run.starts, run.deployment, limits),
        ...checkOwnCompleteAnswer(run.starts, run.answers),
        ...checkNotRunIsTrue(run.starts, run.answers),
        ...checkAnsweredInTime(run, limits),
        ...checkNoStartAfterLeaving(run.starts, run.deployment, limits),
        ...checkPlannedStopsCutNothing(run.answers, run.deployment),
        ...checkConfigurationInForce(run.deployment, limits, run.endedAtMilliseconds),
    ];
}
