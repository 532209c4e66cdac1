/**
 * Identities of processes and submissions.
 */

/** IP number and port of a process, as `address:port`. */
export type PeerAddress = string;

/** A value drawn at random at each start of a process; it tells two lives of one address apart. */
export type Incarnation = string;

/** Text form of a submission's id, as callers see it. */
export type SubmissionKey = string;

/** One life of a process. */
export interface PeerIdentity {
    readonly address: PeerAddress;
    readonly incarnation: Incarnation;
}

/** What a submission's id says once its checksum was verified. */
export interface SubmissionIdentity {
    /** The entry incarnation that issued the id and holds its state. */
    readonly owner: PeerIdentity;
    /** Position among the ids of its keeper, from 1. */
    readonly sequence: number;
    /** Instant after which the id is refused, in milliseconds since the epoch. */
    readonly expiresAtMilliseconds: number;
    /** Version of the agent registry that the keeper knew; agents registered later never start this submission. */
    readonly registryVersion: number;
}
