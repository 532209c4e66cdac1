/**
 * Events of a deployment that the checker needs: accepted configurations, process lifetimes, outages, drain periods
 * and graceful shutdowns.
 */
import type { VersionedManifest } from "@lovagepitch/types/manifest";

/** A manifest that was written to the platform's table. */
export interface AcceptedManifest {
    readonly manifest: VersionedManifest;
    readonly acceptedAtMilliseconds: number;
}

/** Observation that a process had put a configuration version in force. */
export interface ObservedVersion {
    /** Address and incarnation of the process. */
    readonly process: string;
    readonly version: number;
    readonly atMilliseconds: number;
}

/** Period in which a process ran and was reachable from at least one process that had the newest configuration. */
export interface ProcessLifetime {
    /** Address and incarnation of the process. */
    readonly process: string;
    readonly fromMilliseconds: number;
    /** Undefined while the process runs. */
    readonly untilMilliseconds: number | undefined;
}

/** Period in which a backend server accepts no new tasks because it announced that it is leaving. */
export interface DrainPeriod {
    readonly worker: string;
    readonly drainStartedAtMilliseconds: number;
    /** When the backend server announced itself again; undefined if it did not. */
    readonly drainEndedAtMilliseconds: number | undefined;
}

/** Period in which callers could not reach an entry although it ran. */
export interface CallerOutage {
    /** Address of the entry; the outage applies to all its incarnations. */
    readonly address: string;
    readonly fromMilliseconds: number;
    /** Undefined while the outage lasts. */
    readonly untilMilliseconds: number | undefined;
}

/** Period in which the platform answered no requests. */
export interface PlatformOutage {
    readonly fromMilliseconds: number;
    /** Undefined while the outage lasts. */
    readonly untilMilliseconds: number | undefined;
}

/** A graceful shutdown of a process. */
export interface GracefulShutdown {
    /** Address and incarnation of the process. */
    readonly process: string;
    /** Name of the worker if the process is an agent, otherwise undefined. */
    readonly worker: string | undefined;
    readonly fromMilliseconds: number;
    /** When the process exited; undefined while it drains. */
    readonly untilMilliseconds: number | undefined;
}

/** Deployment events of a test run, recorded for the checker in addition to starts and answers. */
export class DeploymentRecord {
    /** Accepted manifests in order of acceptance. */
    public readonly acceptedManifests: AcceptedManifest[] = [];
    /** Observed versions in order of observation. */
    public readonly observedVersions: ObservedVersion[] = [];
    /** Periods in which the processes ran. */
    public readonly processLifetimes: ProcessLifetime[] = [];
    /** Periods in which backend servers accepted no new tasks. */
    public readonly drainPeriods: DrainPeriod[] = [];
    /** Outages of the platform. */
    public readonly platformOutages: PlatformOutage[] = [];
    /** Periods in which callers could not reach an entry. */
    public readonly callerOutages: CallerOutage[] = [];
    /** Graceful shutdowns; one that was interrupted by a crash of the process is removed. */
    public readonly gracefulShutdowns: GracefulShutdown[] = [];
}

/**
 * Tells whether callers could not reach an entry at some point in a period.
 *
 * @param deployment - the recorded caller outages
 * @param entry - address and incarnation of the entry
 * @param fromMilliseconds - start of the period, in milliseconds since the epoch
 * @param untilMilliseconds - end of the period, in milliseconds since the epoch
 * @returns true if an outage of the entry overlaps the period
 */
export function wasUnreachableForCallers(
    deployment: DeploymentRecord,
    entry: string,
    fromMilliseconds: number,
    untilMilliseconds: number,
): boolean {
    return deployment.callerOutages.some(outage =>
        entry.startsWith(`${outage.address}/`)
        && outage.fromMilliseconds <= untilMilliseconds
        && (outage.untilMilliseconds ?? Number.POSITIVE_INFINITY) >= fromMilliseconds
    );
}
