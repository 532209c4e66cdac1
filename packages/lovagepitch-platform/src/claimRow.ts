/**
 * Rows that bind callers' keys to submissions.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import { digestJson } from "@lovagepitch/utils/digest";
import type { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";
import { z } from "zod";

/** Start of the keys of all claims' rows. */
const claimPrefix = "claim/";
/** Clocks of two processes may differ by this much, in milliseconds. */
const clockToleranceMilliseconds = 30_000;

/** A key that a caller chose, with the job it is sent for and the submission to bind it to. */
export interface KeyClaim {
    readonly team: string;
    readonly service: string;
    readonly key: string;
    /** Digest of the job, so that the same key with another job is recognised. */
    readonly jobDigest: string;
    /** An id that was issued for this claim and is used for nothing else. */
    readonly submission: SubmissionKey;
}

/** What a key is bound to. */
export interface KeyBinding {
    readonly submission: SubmissionKey;
    readonly jobDigest: string;
}

/** The row of a claim. */
export const claimSchema = z.object({
    team: z.string(),
    service: z.string(),
    key: z.string(),
    jobDigest: z.string(),
    submission: z.string(),
    /** End of the window in which a resubmission finds the same submission, in milliseconds since the epoch. */
    expiresAtMilliseconds: z.number(),
    /** Transaction that wrote the row. */
    transaction: z.string(),
});

/** The row of a claim. */
export type ClaimRow = Readonly<z.infer<typeof claimSchema>>;

/**
 * Names the row of a key; its length does not depend on the caller.
 *
 * @param claim - the key with its team and service
 * @returns the row's key
 */
export function createClaimRowKey(claim: KeyClaim): string {
    return claimPrefix + digestJson([claim.team, claim.service, claim.key]);
}

/**
 * Tells whether a key may be bound anew: the window has passed, and the bound submission cannot be started any more.
 *
 * @param row - the claim's row
 * @param codec - reads the bound submission's expiry
 * @param nowMilliseconds - the current instant, in milliseconds since the epoch
 * @returns true when the row may be replaced
 */
export function isReplaceable(row: ClaimRow, codec: SubmissionCodec, nowMilliseconds: number): boolean {
    const latest = nowMilliseconds - clockToleranceMilliseconds;
    if (row.expiresAtMilliseconds > latest) {
        return false;
    }
    const identity = codec.decode(row.submission);
    return identity.ok && identity.val.expiresAtMilliseconds <= latest;
}
