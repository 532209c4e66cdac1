/**
 * Issued ids that no job has used yet.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import { Backoff } from "./backoff.js";
import type { ClientParts } from "./clientParts.js";
import { parseIssuedIds } from "./parseResponse.js";

const maximumKeptIds = 1000;

/** An id and the entry that issued it. */
export interface IssuedId {
    readonly submission: SubmissionKey;
    readonly entry: string;
}

interface PooledId extends IssuedId {
    readonly receivedAtMilliseconds: number;
}

/** Keeps ids, carried over from answers or asked for in batches; each is given out once. */
export class SubmissionPool {
    private readonly ids: PooledId[] = [];
    private waitingJobs = 0;
    private refill: Promise<void> | undefined;

    /**
     * @param parts - the client's parts
     */
    public constructor(private readonly parts: ClientParts) {}

    /**
     * Adds an id that came with an answer.
     *
     * @param submission - the id, which nothing has been sent under
     * @param entry - the entry that the answer came from
     */
    public add(submission: SubmissionKey, entry: string): void {
        if (this.ids.length < maximumKeptIds) {
            this.ids.push({ submission, entry, receivedAtMilliseconds: this.parts.clock.nowMilliseconds() });
        }
    }

    /**
     * Drops the ids of an entry that stops, for it will not keep new submissions.
     *
     * @param entry - the entry's base address
     */
    public dropIdsOf(entry: string): void {
        const kept = this.ids.filter(id => id.entry !== entry);
        this.ids.splice(0, this.ids.length, ...kept);
    }

    /**
     * Takes an id; asks the entries for a batch when none is left.
     *
     * @param giveUpAtMilliseconds - instant after which the caller no longer waits, in milliseconds since the epoch
     * @returns an id, or undefined when no entry has issued one in time
     */
    public async take(giveUpAtMilliseconds: number): Promise<IssuedId | undefined> {
        const backoff = new Backoff(this.parts.options, this.parts.random);
        this.waitingJobs += 1;
        try {
            for (;;) {
                const id = this.takeFresh();
                if (id !== undefined) {
                    return id;
                }
                if (this.parts.clock.nowMilliseconds() >= giveUpAtMilliseconds) {
                    return undefined;
                }
                this.refill ??= this.requestBatch().finally(() => {
                    this.refill = undefined;
                });
                await this.refill;
                if (this.ids.length === 0) {
                    await this.parts.delay.wait(this.boundWait(backoff.next(), giveUpAtMilliseconds));
                }
            }
        }
        finally {
            this.waitingJobs -= 1;
        }
    }

    private takeFresh(): IssuedId | undefined {
        const oldest = this.parts.clock.nowMilliseconds() - this.parts.options.maximumIdAgeMilliseconds;
        while (this.ids[0] !== undefined && this.ids[0].receivedAtMilliseconds < oldest) {
            this.ids.shift();
        }
        return this.ids.shift();
    }

    private boundWait(wait: number, giveUpAtMilliseconds: number): number {
        return Math.max(1, Math.min(wait, giveUpAtMilliseconds - this.parts.clock.nowMilliseconds()));
    }

    /** Asks each entry in turn until one issues ids. */
    private async requestBatch(): Promise<void> {
        const { options, transport, entries, messages } = this.parts;
        for (let attempt = 0; attempt < entries.size; attempt += 1) {
            const entry = entries.choose();
            const count = Math.min(maximumKeptIds, Math.max(options.idBatchSize, this.waitingJobs));
            const outcome = await transport.send({
                method: "POST",
                entry,
                path: `/v1/submissions?count=${count}`,
                headers: {},
                timeoutMilliseconds: options.requestTimeoutMilliseconds,
            });
            if (outcome.kind !== "not-sent") {
                messages.add("issues");
            }
            const ids = outcome.kind === "response" ? parseIssuedIds(outcome) : [];
            if (ids.length > 0) {
                entries.recordSuccess(entry);
                ids.forEach(id => this.add(id, entry));
                return;
            }
            entries.recordFailure(entry);
        }
    }
}
