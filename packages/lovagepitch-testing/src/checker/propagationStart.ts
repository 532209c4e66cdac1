/**
 * Start times of the period within which a configuration must reach the processes.
 */
import type { AcceptedManifest, DeploymentRecord, ProcessLifetime } from "./deploymentRecord.js";

/**
 * Finds when a configuration could start to propagate: when it was accepted, or, if a platform outage began before any
 * process had fetched it, when that outage ended.
 *
 * @param accepted - the accepted manifest
 * @param deployment - platform outages and observed versions
 * @returns milliseconds since the epoch; infinity while the outage lasts
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
 * Finds when a process could start to fetch configurations: at its start, or, if it started during a platform outage
 * and therefore found neither a manifest nor a peer, when that outage ended.
 *
 * @param lifetime - period in which the process ran
 * @param deployment - platform outages and observed versions
 * @returns milliseconds since the epoch; infinity while the outage lasts
 */
export function findFetchStart(lifetime: ProcessLifetime, deployment: DeploymentRecord): number {
    const hadVersion = deployment.observedVersions.some(observed =>
        observed.process === lifetime.process && observed.atMilliseconds <= lifetime.fromMilliseconds
    );
    const outage = deployment.platformOutages.find(candidate =>
        candidate.fromMilliseconds <= lifetime.fromMilliseconds
        && (candidate.untilMilliseconds ?? Number.POSITIVE_INFINITY) > lifetime.fromMilliseconds
    );
    return hadVersion || outage === undefined
        ? lifetime.fromMilliseconds
        : outage.untilMilliseconds ?? Number.POSITIVE_INFINITY;
}
