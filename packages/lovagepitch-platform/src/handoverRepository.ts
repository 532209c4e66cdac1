/**
 * Handover objects that stopped processes leave in the object store: answers of entries and ledgers of agents.
 */
import type { Incarnation } from "@lovagepitch/types/identity";
import type { AnswersHandover, LedgerHandover } from "@lovagepitch/types/ledger";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { describeFault, validateValue } from "@lovagepitch/utils/validateValue";
import { promisify } from "node:util";
import { gunzip, gzip } from "node:zlib";
import type { z } from "zod";
import { answersHandoverSchema, ledgerHandoverSchema } from "./handoverSchema.js";
import type { ObjectStore } from "./objectStore.js";
import { PlatformError } from "./platformError.js";
import type { RetryPolicy } from "./retryPolicy.js";

const compress = promisify(gzip);
const decompress = promisify(gunzip);

/** Largest decompressed size of an object. */
const maximumHandoverBytes = 512 * 1024 * 1024;

/** Handover objects, one per incarnation, written once when the incarnation shuts down. */
export class HandoverRepository {
    /**
     * @param objects - the platform's object store
     * @param retries - attempts and backoff of a write
     */
    public constructor(private readonly objects: ObjectStore, private readonly retries: RetryPolicy) {}

    /**
     * Writes the finished answers of a stopping entry.
     *
     * @param handover - incarnation and answers of the entry
     * @returns nothing, or the error when the object is not known to be durable
     */
    public async writeAnswers(handover: AnswersHandover): Promise<Result<void, PlatformError>> {
        return this.write(createAnswersName(handover.incarnation), handover);
    }

    /**
     * Reads the finished answers of a stopped entry.
     *
     * @param incarnation - incarnation of the entry
     * @returns the answers, undefined when there is no object, or the error when it could not be read
     */
    public async readAnswers(incarnation: Incarnation): Promise<Result<AnswersHandover | undefined, PlatformError>> {
        return this.read(createAnswersName(incarnation), incarnation, answersHandoverSchema);
    }

    /**
     * Writes the ledger of a stopping agent.
     *
     * @param handover - incarnation and ledger of the agent
     * @returns nothing, or the error when the object is not known to be durable
     */
    public async writeLedger(handover: LedgerHandover): Promise<Result<void, PlatformError>> {
        return this.write(createLedgerName(handover.incarnation), handover);
    }

    /**
     * Reads the ledger of a stopped agent.
     *
     * @param incarnation - incarnation of the agent
     * @returns the ledger, undefined when there is no object, or the error when it could not be read
     */
    public async readLedger(incarnation: Incarnation): Promise<Result<LedgerHandover | undefined, PlatformError>> {
        return this.read(createLedgerName(incarnation), incarnation, ledgerHandoverSchema);
    }

    private async write(name: string, handover: unknown): Promise<Result<void, PlatformError>> {
        const body = await compress(JSON.stringify(handover));
        let failure = new PlatformError("unavailable", `The object ${name} was not written; try again`);
        for (let attempt = 0; attempt < this.retries.maximumAttempts; attempt += 1) {
            await this.retries.waitBefore(attempt);
            const written = await this.objects.put(name, body);
            if (written.ok || written.val.kind !== "unavailable") {
                return written;
            }
            failure = written.val;
            const stored = await this.objects.get(name);
            if (stored.ok && stored.val !== undefined && body.equals(stored.val)) {
                return Ok(undefined);
            }
        }
        return Err(failure);
    }

    private async read<Handover extends { readonly incarnation: Incarnation }>(
        name: string,
        incarnation: Incarnation,
        schema: z.ZodType<Handover>,
    ): Promise<Result<Handover | undefined, PlatformError>> {
        const body = await this.objects.get(name);
        if (body.err || body.val === undefined) {
            return body.map(() => undefined);
        }
        const parsed = validateValue(schema, await decodeBody(body.val));
        if (parsed.err) {
            const problem = describeFault(parsed.val);
            return Err(new PlatformError("invalid", `The object ${name} is malformed; delete it (${problem})`));
        }
        if (parsed.val.incarnation !== incarnation) {
            return Err(new PlatformError("invalid", `The object ${name} belongs to another process; delete it`));
        }
        return Ok(parsed.val);
    }
}

function createAnswersName(incarnation: Incarnation): string {
    return `handover/answers/${incarnation}.json.gz`;
}

function createLedgerName(incarnation: Incarnation): string {
    return `handover/ledger/${incarnation}.json.gz`;
}

async function decodeBody(body: Uint8Array): Promise<unknown> {
    try {
        const text = await decompress(body, { maxOutputLength: maximumHandoverBytes });
        return JSON.parse(text.toString("utf8"));
    }
    catch {
        return undefined;
    }
}
