/**
 * The one checker of every failure test, in one process or many: it judges what was seen from outside by seven rules.
 */
import { checkNotRunIsTrue, checkOwnCompleteAnswer } from "./answerRules.js";
import { checkConfigurationInForce, checkPlannedStopsKeepConnections } from "./configurationRules.js";
import {
    checkKeysBoundOnce,
    checkNoStartWhileDraining,
    checkPermittedPlace,
    checkStartsOnce,
} from "./executionRules.js";
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
        ...checkKeysBoundOnce(run.answers),
        ...checkPermittedPlace(run.starts, run.deployment, limits),
        ...checkOwnCompleteAnswer(run.starts, run.answers),
        ...checkNotRunIsTrue(run.starts, run.answers),
        ...checkAnsweredInTime(run, limits),
        ...checkNoStartWhileDraining(run.starts, run.deployment, limits),
        ...checkPlannedStopsKeepConnections(run.answers, run.deployment),
        ...checkConfigurationInForce(run.deployment, limits, run.endedAtMilliseconds),
    ];
}
