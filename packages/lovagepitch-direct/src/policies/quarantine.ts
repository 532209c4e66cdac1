/**
 * Load pattern: some jobs may crash the workers that start them. They run on few workers, the same at every entry; those that
 * have crashed already come first, because they come back without runs of other jobs.
 */
import { rankPartner } from "./partnerChoice.js";

/** Part of a service's workers on which jobs run that may crash them. */
const quarantineShare = 1 / 3;

/** A worker that may be chosen. */
export interface QuarantineCandidate {
    readonly instance: string;
    readonly hasCrashed: boolean;
}

/** Workers for jobs that may crash them. */
export interface QuarantineChoice {
    /** Names of the instances for confined kinds, the preferred ones first; empty when a service has only one worker. */
    readonly instances: readonly string[];
    /** Names of the other instances, in the order in which they would be chosen. */
    readonly others: readonly string[];
}

/**
 * Chooses the workers for jobs that may crash them.
 *
 * @param service - service of the workers
 * @param candidates - all workers of the service, also those that are expected back
 * @returns the chosen workers and the others
 */
export function chooseQuarantine(service: string, candidates: readonly QuarantineCandidate[]): QuarantineChoice {
    const count = candidates.length < 2 ? 0 : Math.max(1, Math.round(candidates.length * quarantineShare));
    const ranked = candidates
        .map(candidate => ({ ...candidate, rank: rankPartner(candidate.instance, service) }))
        .sort((left, right) => Number(right.hasCrashed) - Number(left.hasCrashed) || right.rank - left.rank)
        .map(({ instance }) => instance);
    return { instances: ranked.slice(0, count), others: ranked.slice(count) };
}
