/**
 * Checks the records of a test run against seven invariants. All failure tests use it, in one process and with real
 * processes. The records contain only what was observed from outside the processes.
 */
import { checkNotRunIsTrue, checkOwnCompleteAnswer } from "./answerRules.js";
import { checkConfigurationInForce, checkGracefulShutdownsKeepConnections } from "./configurationRules.js";
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
 * Checks all rules for a test run.
 *
 * @param run - records of the run
 * @param limits - time limits that the rules allow
 * @returns all violations, in the order of the rules
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
        ...checkGracefulShutdownsKeepConnections(run.answers, run.deployment),
        ...checkConfigurationInForce(run.deployment, limits, run.endedAtMilliseconds),
    ];
}
