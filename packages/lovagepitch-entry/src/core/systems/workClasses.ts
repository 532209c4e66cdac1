/**
 * Updates work classes and their candidates when the configuration or the agents change.
 */
import type { KindManifest, VersionedManifest } from "@lovagepitch/types/manifest";
import type { EntryState } from "../entryState.js";
import { DrainRateEstimator } from "../policies/drainRateEstimator.js";
import { RunTimeEstimator } from "../policies/runTimeEstimator.js";
import { WaitingQueue } from "../tables/waitingQueue.js";
import { createWorkClassKey, type WorkClass } from "../tables/workClass.js";
import { failSubmission } from "./finishing.js";

/**
 * Applies a manifest; an older or equal version is ignored.
 *
 * @param state - entry state, updated in place
 * @param manifest - validated manifest and its version
 */
export function applyManifest(state: EntryState, manifest: VersionedManifest): void {
    if (manifest.version <= state.configurationVersion) {
        return;
    }
    state.manifest = manifest;
    state.hasStaleCandidates = true;
    state.guaranteedSlotsByTeam.clear();
    for (const team of manifest.manifest.teams) {
        state.guaranteedSlotsByTeam.set(team.name, team.quota.guaranteedSlots);
    }
    rebuildWorkClasses(state, manifest);
    failWithdrawnJobs(state);
    pingPeers(state);
    state.logDecision("configured", `version ${manifest.version} is in force`);
}

/**
 * Recomputes the candidates of every work class when agents or the configuration have changed.
 *
 * @param state - entry state, updated in place
 */
export function refreshCandidates(state: EntryState): void {
    if (!state.hasStaleCandidates) {
        return;
    }
    state.hasStaleCandidates = false;
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

/**
 * Pings all peers. Every batch carries the configuration version, so a peer with an older one requests the manifest,
 * even while the store is down.
 */
function pingPeers(state: EntryState): void {
    const own = state.dependencies.identity.address;
    const entries = state.registry.entries.filter(entry => entry.state === "serving" && entry.address !== own);
    for (const { address } of [...entries, ...state.agents.values()]) {
        state.send(address, { type: "ping" });
    }
}

function rebuildWorkClasses(state: EntryState, manifest: VersionedManifest): void {
    const configuredKeys = new Set<string>();
    for (const service of manifest.manifest.services) {
        for (const kind of service.kinds) {
            const key = createWorkClassKey(service.name, kind.name);
            configuredKeys.add(key);
            state.workClasses.set(key, createWorkClass(state, service.name, kind));
        }
    }
    for (const key of [...state.workClasses.keys()]) {
        if (!configuredKeys.has(key)) {
            state.workClasses.delete(key);
        }
    }
}

function createWorkClass(state: EntryState, service: string, kind: KindManifest): WorkClass {
    const key = createWorkClassKey(service, kind.name);
    const existing = state.workClasses.get(key);
    return {
        key,
        service,
        kind,
        candidates: existing?.candidates ?? [],
        queue: existing?.queue ?? new WaitingQueue(state.policies.startOrder),
        drainRate: existing?.drainRate ?? new DrainRateEstimator(),
        runTime: existing?.runTime ?? new RunTimeEstimator(),
    };
}

/** Fails the jobs whose kind or team was withdrawn; their running tasks finish at the agents. */
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
