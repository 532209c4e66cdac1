/**
 * Rules over time: every caller that waits is answered by its deadline, and as soon as its answer is decided.
 */
import type { CallerRequest } from "./answerRecord.js";
import { type DeploymentRecord, wasUnreachableForCallers } from "./deploymentRecord.js";
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
    const startsBySubmission = run.starts.groupBySubmission();
    const violations: Violation[] = [];
    for (const request of run.answers.requests) {
        const ownStarts = startsBySubmission.get(request.submission ?? "") ?? [];
        const problem = describeLateness(request, run, limits) ?? describeLateDecision(request, run, ownStarts, limits);
        if (problem !== undefined) {
            const name = request.submission ?? request.key ?? "a request without an id";
            const message = `${request.operation} of ${name} at ${request.entry} ${problem}`;
            violations.push({ rule: "answeredInTime", message });
        }
    }
    return violations;
}

function describeLateness(request: CallerRequest, run: RunRecord, limits: CheckerLimits): string | undefined {
    const allowedMilliseconds = (request.job?.deadlineMilliseconds ?? 0) + limits.deadlineMarginMilliseconds;
    const endedAt = request.end?.atMilliseconds ?? run.endedAtMilliseconds;
    const tookMilliseconds = endedAt - request.sentAtMilliseconds;
    const dueAt = request.sentAtMilliseconds + allowedMilliseconds;
    if (tookMilliseconds <= allowedMilliseconds || !wasReachable(request, dueAt, run.deployment)) {
        return undefined;
    }
    if (request.end === undefined) {
        return `had no answer after ${tookMilliseconds} ms; allowed are ${allowedMilliseconds} ms`;
    }
    return request.end.kind === "answered"
        ? `was answered after ${tookMilliseconds} ms; allowed are ${allowedMilliseconds} ms`
        : undefined;
}

/** Tells whether the entry ran and could be reached from the sending of the request until its answer was due. */
function wasReachable(request: CallerRequest, dueAt: number, deployment: DeploymentRecord): boolean {
    const lives = deployment.processLifetimes.filter(life => life.process === request.entry);
    const unbounded = Number.POSITIVE_INFINITY;
    const wasRunning = lives.length === 0
        || lives.some(life =>
            life.fromMilliseconds <= request.sentAtMilliseconds && (life.untilMilliseconds ?? unbounded) >= dueAt
        );
    return wasRunning && !wasUnreachableForCallers(deployment, request.entry, request.sentAtMilliseconds, dueAt);
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
    const waitedMilliseconds = end.atMilliseconds - decidedAt;
    return waitedMilliseconds <= limits.decisionMarginMilliseconds
        ? undefined
        : `was answered ${waitedMilliseconds} ms after its last task had ended`;
}
