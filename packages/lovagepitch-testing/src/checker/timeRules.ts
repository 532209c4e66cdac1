/**
 * Rules over time: every caller that waits is answered by its deadline, and as soon as its answer is decided.
 */
import type { CallerRequest } from "./answerRecord.js";
import { type DeploymentRecord, wasSilent } from "./deploymentRecord.js";
import type { RunRecord } from "./runRecord.js";
import type { TaskStart } from "./startRecord.js";
import type { CheckerLimits, Violation } from "./violation.js";

/**
 * Judges that every caller that waits has its answer by its deadline and a margin, and a complete one soon after the
 * last task ended. A caller that waits at an entry that is paused or cannot be reached is not judged.
 *
 * @param run - the records
 * @param limits - the stated times
 * @returns the violations
 */
export function checkAnsweredInTime(run: RunRecord, limits: CheckerLimits): readonly Violation[] {
    const startsBySubmission = run.starts.bySubmission();
    const violations: Violation[] = [];
    for (const request of run.answers.requests) {
        const ownStarts = startsBySubmission.get(request.submission ?? "") ?? [];
        const late = describeLateness(request, run, limits) ?? describeLateDecision(request, run, ownStarts, limits);
        if (late !== undefined) {
            const name = request.submission ?? request.key ?? "a request without an id";
            const message = `${request.operation} of ${name} at ${request.entry} ${late}`;
            violations.push({ rule: "answeredInTime", message });
        }
    }
    return violations;
}

function describeLateness(request: CallerRequest, run: RunRecord, limits: CheckerLimits): string | undefined {
    const allowed = (request.job?.deadlineMilliseconds ?? 0) + limits.deadlineMarginMilliseconds;
    const endedAt = request.end?.atMilliseconds ?? run.endedAtMilliseconds;
    const took = endedAt - request.sentAtMilliseconds;
    const dueAt = request.sentAtMilliseconds + allowed;
    if (took <= allowed || !couldAnswer(request, dueAt, run.deployment)) {
        return undefined;
    }
    if (request.end === undefined) {
        return `had no answer after ${took} ms; allowed are ${allowed} ms`;
    }
    return request.end.kind === "answered" ? `was answered after ${took} ms; allowed are ${allowed} ms` : undefined;
}

/** Tells whether the entry ran and could be reached from the sending of the request until its answer was due. */
function couldAnswer(request: CallerRequest, dueAt: number, deployment: DeploymentRecord): boolean {
    const lives = deployment.processLifetimes.filter(life => life.process === request.entry);
    const forever = Number.POSITIVE_INFINITY;
    const ran = lives.length === 0
        || lives.some(life =>
            life.fromMilliseconds <= request.sentAtMilliseconds && (life.untilMilliseconds ?? forever) >= dueAt
        );
    return ran && !wasSilent(deployment, request.entry, request.sentAtMilliseconds, dueAt);
}

function describeLateDecision(
    request: CallerRequest,
    run: RunRecord,
    ownStarts: readonly TaskStart[],
    limits: CheckerLimits,
): string | undefined {
    const { end } = request;
    if (end?.kind !== "answered" || end.result.kind !== "answer" || end.result.answer.state !== "complete") {
        return undefined;
    }
    let decidedAt = request.sentAtMilliseconds;
    for (const start of ownStarts) {
        decidedAt = Math.max(decidedAt, run.starts.getEnd(start)?.endedAtMilliseconds ?? 0);
    }
    const waited = end.atMilliseconds - decidedAt;
    return waited <= limits.decisionMarginMilliseconds
        ? undefined
        : `was answered ${waited} ms after its last task had ended`;
}
