/**
 * Invariants that every test run must satisfy, and their violations.
 */

/** Names of the rules, in the order in which they are checked. */
export const ruleNames = [
    "startsOnce",
    "permittedPlace",
    "ownCompleteAnswer",
    "notRunIsTrue",
    "answeredInTime",
    "gracefulLeaving",
    "configurationInForce",
] as const;

/** Name of a rule. */
export type RuleName = typeof ruleNames[number];

/** A violation of a rule. */
export interface Violation {
    readonly rule: RuleName;
    /** What was observed, with the submission, task and process concerned. */
    readonly message: string;
}

/** Time limits that the rules allow, in milliseconds. */
export interface CheckerLimits {
    /** Time within which an accepted configuration must be in force in every process. */
    readonly configurationPropagationMilliseconds: number;
    /** Time after a backend server started to drain in which tasks may still start there. */
    readonly drainNoticeMilliseconds: number;
    /** Time after its deadline within which a waiting caller must receive its answer. */
    readonly deadlineMarginMilliseconds: number;
    /** Time after the end of the last task within which a complete answer must arrive. */
    readonly decisionMarginMilliseconds: number;
}

/** Limits that the user documentation states. */
export const documentedLimits: CheckerLimits = {
    configurationPropagationMilliseconds: 5000,
    drainNoticeMilliseconds: 1000,
    deadlineMarginMilliseconds: 1000,
    decisionMarginMilliseconds: 2000,
};
