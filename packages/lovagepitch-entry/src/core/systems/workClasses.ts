/**
 * Keeps work classes and their candidates in step with the configuration and the agents.
 */
import type { KindManifest, VersionedManifest } from "@lovagepitch/types/manifest";
import type { EntryState } from "../entryState.js";
import { DrainRateEstimator } from "../policies/drainRateEstimator.js";
import { RunTimeEstimator } from "../policies/runTimeEstimator.js";
import { WaitingQueue } from "../tables/waitingQueue.js";
import { type WorkClass, workClassKey } from "../tables/workClass.js";
import { failSubmission } from "./finishing.js";

/**
 * Puts a newer manifest in force; an older or equal one is ignored.
 *
 * @param state - the entry's state
 * @param manifest - the manifest
 */
export function acceptManifest(state: EntryState, manifest: VersionedManifest): void {
    if (manifest.version <= state.configurationVersion) {
        return;
    }
    state.manifest = manifest;
    state.candidatesStale = true;
    state.guaranteedSlots.clear();
    for (const team of manifest.manifest.teams) {
        state.guaranteedSlots.set(team.name, team.quota.guaranteedSlots);
    }
    rebuildClasses(state, manifest);
    failWithdrawnJobs(state);
    tellOthers(state);
    state.decide("configured", `version ${manifest.version} is in force`);
}

/**
 * Computes the candidates of every class again when agents or the configuration have changed.
 *
 * @param state - the entry's state
 */
export function refreshCandidates(state: EntryState): void {
    if (!state.candidatesStale) {
        return;
    }
    state.candidatesStale = false;
    const agents = [...state.agents.values()];
    for (const workClass of state.workClasses.values()) {
        const zones = new Set(workClass.kind.availabilityZones);
        const candidates = agents.filter(agent =>
            zones.has(agent.availabilityZone) && agent.services.includes(workClass.service)
        );
        state.workClasses.set(workClass.key, {
            ...workClass,
            candidates: candidates.map(agent => agent.address),
        });
    }
}

/** Every batch carries the version, so a ping makes whoever is behind ask for the manifest, with the store down too. */
function tellOthers(state: EntryState): void {
    const own = state.parts.identity.address;
    const entries = state.registry.entries.filter(entry => entry.state === "serving" && entry.address !== own);
    for (const { address } of [...entries, ...state.agents.values()]) {
        state.send(address, { type: "ping" });
    }
}

function rebuildClasses(state: EntryState, manifest: VersionedManifest): void {
    const kept = new Set<string>();
    for (const service of manifest.manifest.services) {
        for (const kind of service.kinds) {
            const key = workClassKey(service.name, kind.name);
            kept.add(key);
            state.workClasses.set(key, createClass(state, service.name, kind));
        }
    }
    for (const key of [...state.workClasses.keys()]) {
        if (!kept.has(key)) {
            state.workClasses.delete(key);
        }
    }
}

function createClass(state: EntryState, service: string, kind: KindManifest): WorkClass {
    const key = workClassKey(service, kind.name);
    const earlier = state.workClasses.get(key);
    return {
        key,
        service,
        kind,
        candidates: earlier?.candidates ?? [],
        queue: earlier?.queue ?? new WaitingQueue(state.policies.startOrder),
        drainRate: earlier?.drainRate ?? new DrainRateEstimator(),
        runTime: earlier?.runTime ?? new RunTimeEstimator(),
    };
}

/** A job whose kind or team was withdrawn cannot go on; what runs of it finishes at its agent. */
function failWithdrawnJobs(state: EntryState): void {
    const teams = new Set(state.manifest?.manifest.teams.map(team => team.name));
    for (const row of [...state.submissions.values()]) {
        if (row.state !== "live") {
            continue;
        }
        const permittedTeams = state.workClasses.get(row.workClass)?.kind.teams ?? teams;
        if (
            !state.workClasses.has(row.workClass) || !teams.has(row.job.team)
            || !new Set(permittedTeams).has(row.job.team)
        ) {
            failSubmission(state, row, "the configuration in force no longer permits this kind of work for the team");
        }
    }
}
