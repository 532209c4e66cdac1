/**
 * What happened to the deployment itself: accepted configurations, lives of processes, and announced departures.
 */
import type { VersionedManifest } from "@lovagepitch/types/manifest";

/** A manifest that the platform's table accepted. */
export interface AcceptedManifest {
    readonly manifest: VersionedManifest;
    readonly acceptedAtMilliseconds: number;
}

/** A process put a configuration version in force, or was seen with it. */
export interface ObservedVersion {
    /** Address and incarnation of the process. */
    readonly process: string;
    readonly version: number;
    readonly atMilliseconds: number;
}

/** A stretch of time in which a process ran and could be reached by at least one holder of the newest version. */
export interface ProcessLifetime {
    readonly process: string;
    readonly fromMilliseconds: number;
    /** Undefined while it lasts. */
    readonly untilMilliseconds: number | undefined;
}

/** A backend server that said it was leaving. */
export interface Departure {
    readonly worker: string;
    readonly drainStartedAtMilliseconds: number;
    /** When it announced itself again; undefined when it did not. */
    readonly drainEndedAtMilliseconds: number | undefined;
}

/** A stretch of time in which callers could not reach an entry, though it ran. */
export interface CallerOutage {
    /** Address of the entry, whatever its incarnation. */
    readonly address: string;
    readonly fromMilliseconds: number;
    /** Undefined while it lasts. */
    readonly untilMilliseconds: number | undefined;
}

/** A stretch of time in which the platform answered nobody. */
export interface PlatformOutage {
    readonly fromMilliseconds: number;
    /** Undefined while it lasts. */
    readonly untilMilliseconds: number | undefined;
}

/** A planned stop of a process. */
export interface PlannedStop {
    readonly process: string;
    /** Set when the process is an agent. */
    readonly worker: string | undefined;
    readonly fromMilliseconds: number;
    /** When the process had ended by itself; undefined while it drains. */
    readonly untilMilliseconds: number | undefined;
}

/** The facts of a run that the checker needs beside starts and answers. */
export class DeploymentRecord {
    /** Accepted manifests in order of acceptance. */
    public readonly acceptedManifests: AcceptedManifest[] = [];
    /** Observed versions in order of observation. */
    public readonly observedVersions: ObservedVersion[] = [];
    /** Lives of processes. */
    public readonly processLifetimes: ProcessLifetime[] = [];
    /** Announced departures. */
    public readonly drainPeriods: Departure[] = [];
    /** Outages of the platform. */
    public readonly platformOutages: PlatformOutage[] = [];
    /** Silences between callers and entries. */
    public readonly callerOutages: CallerOutage[] = [];
    /** Planned stops; one whose process was killed meanwhile is none. */
    public readonly plannedStops: PlannedStop[] = [];
}

/**
 * Tells whether callers could not reach an entry at some time.
 *
 * @param deployment - the silences
 * @param entry - address and incarnation of the entry
 * @param fromMilliseconds - start of the time
 * @param untilMilliseconds - its end
 * @returns true when a silence overlaps the time
 */
export function wasUnreachableForCallers(
    deployment: DeploymentRecord,
    entry: string,
    fromMilliseconds: number,
    untilMilliseconds: number,
): boolean {
    return deployment.callerOutages.some(silence =>
        entry.startsWith(`${silence.address}/`)
        && silence.fromMilliseconds <= untilMilliseconds
        && (silence.untilMilliseconds ?? Number.POSITIVE_INFINITY) >= fromMilliseconds
    );
}
