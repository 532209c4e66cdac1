/**
 * The instants from which the time to spread a configuration counts.
 */
import type { AcceptedManifest, DeploymentRecord, ProcessLifetime } from "./deploymentRecord.js";

/**
 * Finds when a configuration could begin to spread: when it was accepted, or, when the platform went down before any
 * process had it, when the platform came back.
 *
 * @param accepted - the accepted manifest
 * @param deployment - outages and observed versions
 * @returns milliseconds since the epoch
 */
export function findPropagationStart(accepted: AcceptedManifest, deployment: DeploymentRecord): number {
    const { version } = accepted.manifest;
    let startsAt = accepted.acceptedAtMilliseconds;
    for (const outage of deployment.platformOutages) {
        const endsAt = outage.untilMilliseconds ?? Number.POSITIVE_INFINITY;
        const wasFetchedBefore = deployment.observedVersions.some(observed =>
            observed.version >= version && observed.atMilliseconds <= outage.fromMilliseconds
        );
        const delaysPropagation = !wasFetchedBefore && endsAt > startsAt;
        if (delaysPropagation) {
            startsAt = endsAt;
        }
    }
    return startsAt;
}

/**
 * Finds when a process could begin to learn configurations: at its start, or, when it started during an outage of the
 * platform and so could find neither a manifest nor a peer, when the platform came back.
 *
 * @param life - a life of the process
 * @param deployment - outages and observed versions
 * @returns milliseconds since the epoch
 */
export function findFetchStart(life: ProcessLifetime, deployment: DeploymentRecord): number {
    const hadVersion = deployment.observedVersions.some(observed =>
        observed.process === life.process && observed.atMilliseconds <= life.fromMilliseconds
    );
    const outage = deployment.platformOutages.find(candidate =>
        candidate.fromMilliseconds <= life.fromMilliseconds
        && (candidate.untilMilliseconds ?? Number.POSITIVE_INFINITY) > life.fromMilliseconds
    );
    return hadVersion || outage === undefined
        ? life.fromMilliseconds
        : outage.untilMilliseconds ?? Number.POSITIVE_INFINITY;
}
