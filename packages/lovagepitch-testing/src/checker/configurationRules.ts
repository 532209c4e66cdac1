/**
 * Rules over processes: configurations spread in time and never fall back; planned stops cut off nothing.
 */
import type { AnswerRecord } from "./answerRecord.js";
import {
    type AcceptedManifest,
    type DeploymentRecord,
    type ProcessLifetime,
    wasUnreachableForCallers,
} from "./deploymentRecord.js";
import { findFetchStart, findPropagationStart } from "./propagationStart.js";
import type { CheckerLimits, Violation } from "./violation.js";

/**
 * Judges that an accepted configuration is in force in every live process in the stated time, and that no process goes
 * back to an older one.
 *
 * @param deployment - accepted configurations, lives of processes, observed versions
 * @param limits - the stated times
 * @param nowMilliseconds - end of the run, in milliseconds since the epoch
 * @returns the violations
 */
export function checkConfigurationInForce(
    deployment: DeploymentRecord,
    limits: CheckerLimits,
    nowMilliseconds: number,
): readonly Violation[] {
    const violations: Violation[] = [];
    const newestVersions = new Map<string, number>();
    for (const observed of deployment.observedVersions) {
        const earlier = newestVersions.get(observed.process) ?? 0;
        if (observed.version < earlier) {
            const message = `${observed.process} went back from version ${earlier} to ${observed.version}`;
            violations.push({ rule: "configurationInForce", message });
        }
        newestVersions.set(observed.process, Math.max(earlier, observed.version));
    }
    for (const accepted of deployment.acceptedManifests) {
        for (const life of deployment.processLifetimes) {
            const message = describeMissingVersion(accepted, life, deployment, limits, nowMilliseconds);
            if (message !== undefined) {
                violations.push({ rule: "configurationInForce", message });
            }
        }
    }
    return violations;
}

function describeMissingVersion(
    accepted: AcceptedManifest,
    life: ProcessLifetime,
    deployment: DeploymentRecord,
    limits: CheckerLimits,
    nowMilliseconds: number,
): string | undefined {
    const { version } = accepted.manifest;
    const startsAt = findPropagationStart(accepted, deployment);
    const fetchesFrom = findFetchStart(life, deployment);
    const dueAt = Math.max(startsAt, fetchesFrom) + limits.configurationPropagationMilliseconds;
    if (dueAt > Math.min(life.untilMilliseconds ?? nowMilliseconds, nowMilliseconds)) {
        return undefined;
    }
    const isInForce = deployment.observedVersions.some(observed =>
        observed.process === life.process && observed.version >= version && observed.atMilliseconds <= dueAt
    );
    return isInForce ? undefined : `version ${version} was not in force in ${life.process} by ${dueAt} ms`;
}

/**
 * Judges that no planned stop of an entry broke a caller's connection.
 *
 * @param answers - requests and answers as callers saw them
 * @param deployment - planned stops
 * @returns the violations
 */
export function checkPlannedStopsKeepConnections(
    answers: AnswerRecord,
    deployment: DeploymentRecord,
): readonly Violation[] {
    const violations: Violation[] = [];
    for (const stop of deployment.plannedStops) {
        for (const request of answers.requests) {
            const wasBroken = request.entry === stop.process && request.end?.kind === "connection-lost"
                && !wasUnreachableForCallers(
                    deployment,
                    request.entry,
                    request.sentAtMilliseconds,
                    request.end.atMilliseconds,
                );
            const stoppedAt = stop.untilMilliseconds ?? Number.POSITIVE_INFINITY;
            if (wasBroken && request.sentAtMilliseconds < stoppedAt) {
                const name = request.submission ?? request.key ?? "a request without an id";
                const message = `the planned stop of ${stop.process} cut off ${request.operation} of ${name}`;
                violations.push({ rule: "gracefulLeaving", message });
            }
        }
    }
    return violations;
}
