/**
 * Registered agents and entries, as rows of the platform's table.
 */
import type { Incarnation, PeerAddress } from "./identity.js";

/** Address, capacity and services that a backend server announces to its agent. */
export interface BackendServerAnnouncement {
    /** Base address of the backend server, as `http://address:port`. */
    readonly url: string;
    readonly slots: number;
    readonly connections: number;
    readonly services: readonly string[];
}

/** Registration of one incarnation of an agent. */
export interface AgentRegistration {
    readonly address: PeerAddress;
    readonly incarnation: Incarnation;
    readonly worker: string;
    readonly rack: string;
    readonly availabilityZone: string;
    readonly cores: number;
    readonly memoryMegabytes: number;
    /** Sequence number among all agent registrations; assigned when the row is written. */
    readonly number: number;
    /** "left" rows stay for the resubmission window, so that outcomes can still be collected from their ledgers. */
    readonly state: "serving" | "left";
    readonly renewedAtMilliseconds: number;
}

/** Registration of one incarnation of an entry. */
export interface EntryRegistration {
    readonly address: PeerAddress;
    readonly incarnation: Incarnation;
    readonly availabilityZone: string;
    readonly state: "serving" | "left";
    readonly renewedAtMilliseconds: number;
}

/** A consistent snapshot of the registry. */
export interface Registry {
    /** Number of the newest agent registration in the snapshot. */
    readonly version: number;
    readonly agents: readonly AgentRegistration[];
    readonly entries: readonly EntryRegistration[];
}
