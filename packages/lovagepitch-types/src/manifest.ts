/**
 * The manifest: the versioned configuration document that operators review and apply.
 */

/** A team and its quota. */
export interface TeamManifest {
    readonly name: string;
    readonly quota: {
        /** Slots up to which the team has priority, across the deployment; it gets more while no other team waits. */
        readonly guaranteedSlots: number;
        /** Largest number of waiting tasks of the team, across the deployment. */
        readonly maximumWaitingTasks: number;
    };
}

/** A kind of work with its availability zones and limits. */
export interface KindManifest {
    readonly name: string;
    readonly availabilityZones: readonly string[];
    /** When present, only these teams may submit the kind. */
    readonly teams?: readonly string[];
    readonly maximumCores: number;
    readonly maximumMemoryMegabytes: number;
    /** Longest deadline that a job may request, in milliseconds. */
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

/** A manifest that was committed to the platform's table. */
export interface VersionedManifest {
    /** 1 for the first accepted manifest; each accepted change adds 1. */
    readonly version: number;
    readonly manifest: Manifest;
    /** Digest of the manifest's canonical text. */
    readonly digest: string;
    /** Name of the person or pipeline that applied the manifest, as given to the operator's command. */
    readonly appliedBy: string;
}
