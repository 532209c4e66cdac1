/**
 * Registered agents and entries, as rows of the platform's table.
 */
import type { Incarnation, PeerAddress } from "./identity.js";

/** What a backend server offers through its agent. */
export interface BackendServerAnnouncement {
    /** Base address of the backend server, as `http://address:port`. */
    readonly url: string;
    readonly slots: number;
    readonly connections: number;
    readonly services: readonly string[];
}

/** One incarnation of an agent. */
export interface AgentRegistration {
    readonly address: PeerAddress;
    readonly incarnation: Incarnation;
    readonly worker: string;
    readonly rack: string;
    readonly availabilityZone: string;
    readonly cores: number;
    readonly memoryMegabytes: number;
    /** Position among all registrations ever made; set when the row is written. */
    readonly number: number;
    /** "left" rows stay until the resubmission window has passed, so that sweeps still find their ledgers. */
    readonly state: "serving" | "left";
    readonly renewedAtMilliseconds: number;
}

/** One incarnation of an entry. */
export interface EntryRegistration {
    readonly address: PeerAddress;
    readonly incarnation: Incarnation;
    readonly availabilityZone: string;
    readonly state: "serving" | "left";
    readonly renewedAtMilliseconds: number;
}

/** A consistent reading of the registry. */
export interface Registry {
    /** Number of the newest agent registration at the time of reading. */
    readonly version: number;
    readonly agents: readonly AgentRegistration[];
    readonly entries: readonly EntryRegistration[];
}
