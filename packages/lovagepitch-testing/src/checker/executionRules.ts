/**
 * Rules over starts: once, in a permitted place, and none at a server that left.
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
 * Judges that no task of a submission starts twice, nor any task that a caller submitted once under one key.
 *
 * @param starts - starts as backend servers saw them
 * @returns the violations
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
 * Judges that a caller's key names one submission only.
 *
 * @param answers - requests as callers saw them
 * @returns the violations
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
 * Judges that every start was in a place that an accepted configuration permitted; once a newer version had the stated
 * time to spread, only the newer one counts.
 *
 * @param starts - starts as backend servers saw them
 * @param deployment - accepted configurations
 * @param limits - the stated times
 * @returns the violations
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
 * Judges that no start reached a server longer than the stated time after it began leaving.
 *
 * @param starts - starts as backend servers saw them
 * @param deployment - announced departures
 * @param limits - the stated times
 * @returns the violations
 */
export function checkNoStartWhileDraining(
    starts: StartRecord,
    deployment: DeploymentRecord,
    limits: CheckerLimits,
): readonly Violation[] {
    const violations: Violation[] = [];
    for (const departure of deployment.drainPeriods) {
        const closedAt = departure.drainStartedAtMilliseconds + limits.leavingMilliseconds;
        const reopenedAt = departure.drainEndedAtMilliseconds ?? Number.POSITIVE_INFINITY;
        for (const start of starts.starts) {
            const isLate = start.startedAtMilliseconds > closedAt && start.startedAtMilliseconds < reopenedAt;
            if (start.worker === departure.worker && isLate) {
                const message = `started after leaving at ${departure.drainStartedAtMilliseconds} ms: ${
                    describeStart(start)
                }`;
                violations.push({ rule: "gracefulLeaving", message });
            }
        }
    }
    return violations;
}
