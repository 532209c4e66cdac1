/**
 * Text form of submission ids: fields and a keyed checksum, so that callers cannot forge ids.
 */
import type { SubmissionIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import { createHmac, timingSafeEqual } from "node:crypto";
import { Err, Ok, type Result } from "./result.js";

/** Version of the text form. */
const formatVersion = "s1";
const checksumLength = 22;
const maximumCachedIds = 20_000;
const submissionPattern = /^s1\.([0-9.]+)-(\d+)\.([0-9a-f]+)\.([0-9a-z]+)\.([0-9a-z]+)\.([0-9a-z]+)\.([\w-]{22})$/;

/** Error of an id that this deployment did not issue. */
export class InvalidSubmissionError extends Error {
    /** Creates the error; its message names the request that issues a valid id. */
    public constructor() {
        super("The submission id was not issued here; get one from POST /v1/submissions");
        this.name = "InvalidSubmissionError";
    }
}

/** Encodes and decodes submission ids with the key of a deployment. */
export class SubmissionCodec {
    private readonly decodedIds = new Map<SubmissionKey, SubmissionIdentity>();

    /**
     * @param key - the setting `submissionKey`, equal in all processes of a deployment
     */
    public constructor(private readonly key: string) {}

    /**
     * Encodes an id.
     *
     * @param identity - fields of the id
     * @returns the id in its text form
     */
    public encode(identity: SubmissionIdentity): SubmissionKey {
        const fields = [
            formatVersion,
            identity.owner.address.replace(":", "-"),
            identity.owner.incarnation,
            identity.sequence.toString(36),
            identity.expiresAtMilliseconds.toString(36),
            identity.registryVersion.toString(36),
        ].join(".");
        return `${fields}.${this.computeChecksum(fields)}`;
    }

    /**
     * Decodes an id and verifies its checksum.
     *
     * @param submission - the id in its text form
     * @returns the fields, or the error when the form or the checksum is invalid
     */
    public decode(submission: SubmissionKey): Result<SubmissionIdentity, InvalidSubmissionError> {
        const cached = this.decodedIds.get(submission);
        if (cached !== undefined) {
            return Ok(cached);
        }
        const match = submissionPattern.exec(submission);
        if (match === null || !this.isAuthentic(submission)) {
            return Err(new InvalidSubmissionError());
        }
        const [, address, port, incarnation, sequence, expiry, registryVersion] = match;
        const identity = {
            owner: { address: `${address}:${port}`, incarnation: String(incarnation) },
            sequence: Number.parseInt(String(sequence), 36),
            expiresAtMilliseconds: Number.parseInt(String(expiry), 36),
            registryVersion: Number.parseInt(String(registryVersion), 36),
        };
        this.cacheDecoded(submission, identity);
        return Ok(identity);
    }

    private isAuthentic(submission: SubmissionKey): boolean {
        const fields = submission.slice(0, -checksumLength - 1);
        const given = Buffer.from(submission.slice(-checksumLength));
        return timingSafeEqual(given, Buffer.from(this.computeChecksum(fields)));
    }

    private computeChecksum(fields: string): string {
        return createHmac("sha256", this.key).update(fields).digest("base64url").slice(0, checksumLength);
    }

    private cacheDecoded(submission: SubmissionKey, identity: SubmissionIdentity): void {
        if (this.decodedIds.size >= maximumCachedIds) {
            // The cache saves the cost of the checksum; submissions in the oldest half are most likely answered.
            for (const key of [...this.decodedIds.keys()].slice(0, maximumCachedIds / 2)) {
                this.decodedIds.delete(key);
            }
        }
        this.decodedIds.set(submission, identity);
    }
}
