/**
 * Rules for response times: a waiting caller is answered by its deadline, and soon after the last task has ended.
 */
import type { CallerRequest } from "./answerRecord.js";
import { type DeploymentRecord, wasUnreachableForCallers } from "./deploymentRecord.js";
import type { RunRecord } from "./runRecord.js";
import type { TaskStart } from "./startRecord.js";
import type { CheckerLimits, Violation } from "./violation.js";

/**
 * Checks that every waiting caller is answered within its deadline plus a margin, and that a complete answer arrives
 * soon after the last task has ended. A request to an entry that was paused or unreachable is exempt from the deadline.
 *
 * @param run - records of the run
 * @param limits - time limits that the rules allow
 * @returns violations of the rule "answeredInTime"
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
        return `had no answer after ${tookMilliseconds} ms; the limit is ${allowedMilliseconds} ms`;
    }
    return request.end.kind === "answered"
        ? `was answered after ${tookMilliseconds} ms; the limit is ${allowedMilliseconds} ms`
        : undefined;
}

/** Tells whether the entry ran and was reachable from when the request was sent until its answer was due. */
function wasReachable(request: CallerRequest, dueAt: number, deployment: DeploymentRecord): boolean {
    const lifetimes = deployment.processLifetimes.filter(lifetime => lifetime.process === request.entry);
    const unbounded = Number.POSITIVE_INFINITY;
    const wasRunning = lifetimes.length === 0
        || lifetimes.some(lifetime =>
            lifetime.fromMilliseconds <= request.sentAtMilliseconds
            && (lifetime.untilMilliseconds ?? unbounded) >= dueAt
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
