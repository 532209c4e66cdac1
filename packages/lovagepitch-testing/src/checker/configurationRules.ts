/**
 * Rules for processes: a configuration reaches every process in time and is never replaced by an older one, and a
 * graceful shutdown breaks no caller connection.
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
 * Checks that each accepted configuration is in force in every running process within the allowed time, and that no
 * process returns to an older version.
 *
 * @param deployment - accepted configurations, process lifetimes and observed versions
 * @param limits - time limits that the rules allow
 * @param nowMilliseconds - end of the run, in milliseconds since the epoch
 * @returns violations of the rule "configurationInForce"
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
        for (const lifetime of deployment.processLifetimes) {
            const message = describeMissingVersion(accepted, lifetime, deployment, limits, nowMilliseconds);
            if (message !== undefined) {
                violations.push({ rule: "configurationInForce", message });
            }
        }
    }
    return violations;
}

function describeMissingVersion(
    accepted: AcceptedManifest,
    lifetime: ProcessLifetime,
    deployment: DeploymentRecord,
    limits: CheckerLimits,
    nowMilliseconds: number,
): string | undefined {
    const { version } = accepted.manifest;
    const startsAt = findPropagationStart(accepted, deployment);
    const fetchesFrom = findFetchStart(lifetime, deployment);
    const dueAt = Math.max(startsAt, fetchesFrom) + limits.configurationPropagationMilliseconds;
    if (dueAt > Math.min(lifetime.untilMilliseconds ?? nowMilliseconds, nowMilliseconds)) {
        return undefined;
    }
    const isInForce = deployment.observedVersions.some(observed =>
        observed.process === lifetime.process && observed.version >= version && observed.atMilliseconds <= dueAt
    );
    return isInForce ? undefined : `version ${version} was not in force in ${lifetime.process} by ${dueAt} ms`;
}

/**
 * Checks that no graceful shutdown of an entry broke a connection on which a caller waited.
 *
 * @param answers - requests and answers recorded by the callers
 * @param deployment - graceful shutdowns and caller outages
 * @returns violations of the rule "gracefulLeaving"
 */
export function checkGracefulShutdownsKeepConnections(
    answers: AnswerRecord,
    deployment: DeploymentRecord,
): readonly Violation[] {
    const violations: Violation[] = [];
    for (const shutdown of deployment.gracefulShutdowns) {
        for (const request of answers.requests) {
            const wasBroken = request.entry === shutdown.process && request.end?.kind === "connection-lost"
                && !wasUnreachableForCallers(
                    deployment,
                    request.entry,
                    request.sentAtMilliseconds,
                    request.end.atMilliseconds,
                );
            const stoppedAt = shutdown.untilMilliseconds ?? Number.POSITIVE_INFINITY;
            if (wasBroken && request.sentAtMilliseconds < stoppedAt) {
                const name = request.submission ?? request.key ?? "a request without an id";
                const message = `the graceful shutdown of ${shutdown.process} cut off ${request.operation} of ${name}`;
                violations.push({ rule: "gracefulLeaving", message });
            }
        }
    }
    return violations;
}
