/**
 * Rules for task starts: each task starts at most once, in a permitted availability zone, and not at a backend server
 * that is leaving.
 */
import type { Manifest } from "@lovagepitch/types/manifest";
import type { AnswerRecord } from "./answerRecord.js";
import type { DeploymentRecord } from "./deploymentRecord.js";
import { findPropagationStart } from "./propagationStart.js";
import type { StartRecord, TaskStart } from "./startRecord.js";
import type { CheckerLimits, Violation } from "./violation.js";

function describeStart(start: TaskStart): string {
    const place = `${start.worker} in ${start.availabilityZone}`;
    return `task ${start.index} of ${start.submission} at ${place}, ${start.startedAtMilliseconds} ms`;
}

/**
 * Checks that no task of a submission starts twice.
 *
 * @param starts - task starts recorded by the backend servers
 * @returns violations of the rule "startsOnce"
 */
export function checkStartsOnce(starts: StartRecord): readonly Violation[] {
    const violations: Violation[] = [];
    const firstStarts = new Map<string, TaskStart>();
    for (const start of starts.starts) {
        const task = `${start.submission}#${start.index}`;
        const first = firstStarts.get(task);
        if (first === undefined) {
            firstStarts.set(task, start);
        }
        else {
            const message = `started twice: ${describeStart(first)}; again ${describeStart(start)}`;
            violations.push({ rule: "startsOnce", message });
        }
    }
    return violations;
}

/**
 * Checks that a caller's idempotency key is bound to one submission only; otherwise its tasks could start twice.
 *
 * @param answers - requests recorded by the callers
 * @returns violations of the rule "startsOnce"
 */
export function checkKeysBoundOnce(answers: AnswerRecord): readonly Violation[] {
    const violations: Violation[] = [];
    const submissionsByKey = new Map<string, string>();
    for (const request of answers.requests) {
        if (request.key === undefined || request.submission === undefined || request.job === undefined) {
            continue;
        }
        const scope = `${request.job.team}/${request.job.service}/${request.key}`;
        const first = submissionsByKey.get(scope);
        if (first === undefined) {
            submissionsByKey.set(scope, request.submission);
        }
        else if (first !== request.submission) {
            const message = `key ${scope} was bound to ${first} and to ${request.submission}`;
            violations.push({ rule: "startsOnce", message });
        }
    }
    return violations;
}

function isPermitted(manifest: Manifest, start: TaskStart): boolean {
    const service = manifest.services.find(candidate => candidate.name === start.service);
    const kind = service?.kinds.find(candidate => candidate.name === start.kind);
    return kind?.availabilityZones.includes(start.availabilityZone) ?? false;
}

/**
 * Checks that every task started in an availability zone that the configuration permits. An older version still counts
 * until its successor had the allowed time to reach every process.
 *
 * @param starts - task starts recorded by the backend servers
 * @param deployment - accepted configurations and platform outages
 * @param limits - time limits that the rules allow
 * @returns violations of the rule "permittedPlace"
 */
export function checkPermittedPlace(
    starts: StartRecord,
    deployment: DeploymentRecord,
    limits: CheckerLimits,
): readonly Violation[] {
    const violations: Violation[] = [];
    for (const start of starts.starts) {
        const inForce = deployment.acceptedManifests.filter((accepted, position) => {
            const successor = deployment.acceptedManifests[position + 1];
            const wasAccepted = accepted.acceptedAtMilliseconds <= start.startedAtMilliseconds;
            const endsAt = successor === undefined
                ? Number.POSITIVE_INFINITY
                : findPropagationStart(successor, deployment) + limits.configurationPropagationMilliseconds;
            return wasAccepted && start.startedAtMilliseconds <= endsAt;
        });
        if (inForce.some(accepted => isPermitted(accepted.manifest.manifest, start))) {
            continue;
        }
        const versions = inForce.map(accepted => accepted.manifest.version).join(", ");
        const kind = `${start.service}/${start.kind}`;
        const message = `place not permitted for ${kind} by version ${versions || "none"}: ${describeStart(start)}`;
        violations.push({ rule: "permittedPlace", message });
    }
    return violations;
}

/**
 * Checks that no task starts at a draining backend server after the allowed notice period.
 *
 * @param starts - task starts recorded by the backend servers
 * @param deployment - drain periods of the backend servers
 * @param limits - time limits that the rules allow
 * @returns violations of the rule "gracefulLeaving"
 */
export function checkNoStartWhileDraining(
    starts: StartRecord,
    deployment: DeploymentRecord,
    limits: CheckerLimits,
): readonly Violation[] {
    const violations: Violation[] = [];
    for (const drainPeriod of deployment.drainPeriods) {
        const latestAllowedStart = drainPeriod.drainStartedAtMilliseconds + limits.drainNoticeMilliseconds;
        const drainEndedAt = drainPeriod.drainEndedAtMilliseconds ?? Number.POSITIVE_INFINITY;
        for (const start of starts.starts) {
            const isLate = start.startedAtMilliseconds > latestAllowedStart
                && start.startedAtMilliseconds < drainEndedAt;
            if (start.worker === drainPeriod.worker && isLate) {
                const message = `started after leaving at ${drainPeriod.drainStartedAtMilliseconds} ms: ${
                    describeStart(start)
                }`;
                violations.push({ rule: "gracefulLeaving", message });
            }
        }
    }
    return violations;
}
