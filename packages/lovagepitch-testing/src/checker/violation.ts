/**
 * Violations of the rules that must always hold.
 */

/** The rules, in the order in which they are judged. */
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

/** One violation, readable by itself. */
export interface Violation {
    readonly rule: RuleName;
    /** What was seen, with the submission, task and process it was seen at. */
    readonly message: string;
}

/** Times that the rules allow, in milliseconds. */
export interface CheckerLimits {
    /** Time in which an accepted configuration must be in force everywhere. */
    readonly configurationPropagationMilliseconds: number;
    /** Time after a backend server began leaving in which a start may still reach it. */
    readonly leavingMilliseconds: number;
    /** Time after its deadline in which a caller that waits must have its answer. */
    readonly deadlineMarginMilliseconds: number;
    /** Time after the last task's end in which a complete answer must be there. */
    readonly decisionMarginMilliseconds: number;
}

/** The limits that the users' pages state. */
export const documentedLimits: CheckerLimits = {
    configurationPropagationMilliseconds: 5000,
    leavingMilliseconds: 1000,
    deadlineMarginMilliseconds: 1000,
    decisionMarginMilliseconds: 2000,
};
