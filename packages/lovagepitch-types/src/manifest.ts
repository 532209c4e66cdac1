/**
 * The configuration that operators review: one document with a version.
 */

/** A team and what it is guaranteed. */
export interface TeamManifest {
    readonly name: string;
    readonly quota: {
        /** Slots the team is served first up to, over the whole deployment; more when no other team waits. */
        readonly guaranteedSlots: number;
        /** Tasks of the team that may wait, over the whole deployment. */
        readonly maximumWaitingTasks: number;
    };
}

/** A kind of work and the places it may touch. */
export interface KindManifest {
    readonly name: string;
    readonly availabilityZones: readonly string[];
    /** When present, only these teams may submit the kind. */
    readonly teams?: readonly string[];
    readonly maximumCores: number;
    readonly maximumMemoryMegabytes: number;
    /** Longest deadline that a job may ask for, in milliseconds. */
    readonly maximumDeadlineMilliseconds: number;
    /** Longest time that one task may run before it counts as failed, in milliseconds. */
    readonly taskTimeoutMilliseconds: number;
}

/** A service and its kinds of work. */
export interface ServiceManifest {
    readonly name: string;
    readonly kinds: readonly KindManifest[];
}

/** The content of the manifest, as operators write it. */
export interface Manifest {
    readonly availabilityZones: readonly string[];
    readonly teams: readonly TeamManifest[];
    readonly services: readonly ServiceManifest[];
}

/** A manifest that the platform's table accepted. */
export interface VersionedManifest {
    /** 1 for the first accepted manifest; each accepted change adds 1. */
    readonly version: number;
    readonly manifest: Manifest;
    /** Digest of the manifest's canonical text. */
    readonly digest: string;
    /** Who applied it, as the operator's command said. */
    readonly appliedBy: string;
}
