/**
 * Rows that bind callers' keys to submissions.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import { digestJson } from "@lovagepitch/utils/digest";
import type { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";
import { z } from "zod";

/** Key prefix of the rows of claims. */
const claimPrefix = "claim/";
/** Largest tolerated difference between the clocks of two processes, in milliseconds. */
const clockToleranceMilliseconds = 30_000;

/** A caller's idempotency key, with the digest of its job and the submission to bind it to. */
export interface KeyClaim {
    readonly team: string;
    readonly service: string;
    readonly key: string;
    /** Digest of the job, which detects that the same key is used for another job. */
    readonly jobDigest: string;
    /** Submission id that was issued for this claim only. */
    readonly submission: SubmissionKey;
}

/** Submission and job digest that a key is bound to. */
export interface KeyBinding {
    readonly submission: SubmissionKey;
    readonly jobDigest: string;
}

/** Schema of the row of a claim. */
export const claimSchema = z.object({
    team: z.string(),
    service: z.string(),
    key: z.string(),
    jobDigest: z.string(),
    submission: z.string(),
    /** End of the window in which a resubmission finds the same submission, in milliseconds since the epoch. */
    expiresAtMilliseconds: z.number(),
    /** Id of the transaction that wrote the row, used to detect a commit whose response was lost. */
    transaction: z.string(),
});

/** The row of a claim. */
export type ClaimRow = Readonly<z.infer<typeof claimSchema>>;

/**
 * Creates the row key of an idempotency key; a digest keeps its length independent of the caller's key.
 *
 * @param claim - the key with its team and service
 * @returns the row's key
 */
export function createClaimRowKey(claim: KeyClaim): string {
    return claimPrefix + digestJson([claim.team, claim.service, claim.key]);
}

/**
 * Tells whether a key may be bound again: its resubmission window has passed, and the bound submission has expired, so
 * that it cannot be started any more.
 *
 * @param row - the claim's row
 * @param codec - decodes the bound submission's expiry
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
