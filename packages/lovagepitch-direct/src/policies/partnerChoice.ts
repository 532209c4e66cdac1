/**
 * Load pattern: a fleet of hundreds of instances, in which a connection of every agent to every entry would cost each
 * instance more with each other one. An agent connects to a few entries: rendezvous hashing spreads the agents over
 * the entries, and an entry that comes or goes moves only its own part.
 */
import { createHash } from "node:crypto";
import type { EntryLocation } from "../model/entryLocation.js";

/** Numbers of entries that an agent connects to. */
export interface PartnerLimits {
    /** Entries in the agent's own availability zone, to which messages are fast and cheap. */
    readonly ownZone: number;
    /** Entries in all zones; the agent serves entries of other zones so that a busy or lost zone is balanced. */
    readonly total: number;
}

/** An entry and its position among the candidates of one agent. */
export interface PartnerCandidate extends EntryLocation {
    /** Result of `rankPartner`; entries with higher ranks are preferred. */
    readonly rank: number;
}

/**
 * Chooses the entries that an agent connects to.
 *
 * @param availabilityZone - availability zone of the agent
 * @param entries - entries to choose from
 * @param limits - largest numbers of entries
 * @returns addresses of the chosen entries; all of them when there are no more than the total limit
 */
export function choosePartners(
    availabilityZone: string,
    entries: readonly PartnerCandidate[],
    limits: PartnerLimits,
): readonly string[] {
    if (entries.length <= limits.total) {
        return entries.map(entry => entry.address);
    }
    const ranked = [...entries].sort((left, right) => right.rank - left.rank);
    const own = ranked.filter(entry => entry.availabilityZone === availabilityZone);
    const others = ranked.filter(entry => entry.availabilityZone !== availabilityZone);
    const ownChosen = own.slice(0, Math.max(limits.ownZone, limits.total - others.length));
    return [...ownChosen, ...others.slice(0, limits.total - ownChosen.length)].map(entry => entry.address);
}

/**
 * Computes the rank of an entry for an agent.
 *
 * @param instance - name of the agent's instance; the rank is the same after a restart
 * @param address - host and port of the entry
 * @returns an evenly distributed integer
 */
export function rankPartner(instance: string, address: string): number {
    return createHash("sha256").update(`${instance} ${address}`).digest().readUInt32BE(0);
}
