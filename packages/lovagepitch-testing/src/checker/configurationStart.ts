/**
 * The instant from which the time to spread a configuration counts.
 */
import type { AcceptedManifest, DeploymentRecord } from "./deploymentRecord.js";

/**
 * Finds when a configuration could begin to spread: when it was accepted, or, when the platform went down before any
 * process had it, when the platform came back.
 *
 * @param accepted - the accepted manifest
 * @param deployment - outages and observed versions
 * @returns milliseconds since the epoch
 */
export function findSpreadStart(accepted: AcceptedManifest, deployment: DeploymentRecord): number {
    const { version } = accepted.manifest;
    let startsAt = accepted.acceptedAtMilliseconds;
    for (const outage of deployment.platformOutages) {
        const endsAt = outage.untilMilliseconds ?? Number.POSITIVE_INFINITY;
        const isKnown = deployment.observedVersions.some(observed =>
            observed.version >= version && observed.atMilliseconds <= outage.fromMilliseconds
        );
        const liesInWay = !isKnown && endsAt > startsAt;
        if (liesInWay) {
            startsAt = endsAt;
        }
    }
    return startsAt;
}
