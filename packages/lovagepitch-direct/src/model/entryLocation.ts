/**
 * Where an entry listens for agents.
 */

/** Address of an entry, which identifies it in the directory, and its availability zone. */
export interface EntryLocation {
    /** Host and port at which the entry listens for agents. */
    readonly address: string;
    /** Undefined when only the address is known, as for an address from the settings. */
    readonly availabilityZone: string | undefined;
}
