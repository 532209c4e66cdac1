/**
 * Identities of processes and submissions.
 */

/** IP address and port of a process, as `address:port`. */
export type PeerAddress = string;

/** Random value that a process draws at its start; it distinguishes successive processes at the same address. */
export type Incarnation = string;

/** Submission id in its text form, as callers send and receive it. */
export type SubmissionKey = string;

/** A process from its start to its end. */
export interface PeerIdentity {
    readonly address: PeerAddress;
    readonly incarnation: Incarnation;
}

/** Fields of a submission id whose checksum was verified. */
export interface SubmissionIdentity {
    /** The entry incarnation that issued the id and holds its state. */
    readonly owner: PeerIdentity;
    /** Sequence number among the ids that the owner issued, from 1. */
    readonly sequence: number;
    /** Time after which the id is refused, in milliseconds since the epoch. */
    readonly expiresAtMilliseconds: number;
    /**
     * Version of the agent registry that the owner had read when it issued the id. Agents that registered later never
     * start tasks of this submission.
     */
    readonly registryVersion: number;
}
