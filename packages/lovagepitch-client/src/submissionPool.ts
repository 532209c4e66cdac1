/**
 * Pool of issued submission ids that no job has used yet.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import { Backoff } from "./backoff.js";
import type { ClientDependencies } from "./clientDependencies.js";
import { parseIssuedIds } from "./parseResponse.js";

const maximumPooledIds = 1000;

/** A submission id and the base address of the entry that issued it. */
export interface IssuedId {
    readonly submission: SubmissionKey;
    readonly entry: string;
}

interface PooledId extends IssuedId {
    readonly receivedAtMilliseconds: number;
}

/** Stores ids received with responses or requested in batches, and hands out each id once. */
export class SubmissionPool {
    private readonly ids: PooledId[] = [];
    private waitingJobs = 0;
    private pendingRefill: Promise<void> | undefined;

    /**
     * @param dependencies - dependencies shared by the client's classes
     */
    public constructor(private readonly dependencies: ClientDependencies) {}

    /**
     * Adds an unused id to the pool; ids beyond its maximum size are discarded.
     *
     * @param submission - the id, under which no job has been submitted
     * @param entry - base address of the entry that issued the id
     */
    public addId(submission: SubmissionKey, entry: string): void {
        if (this.ids.length < maximumPooledIds) {
            this.ids.push({ submission, entry, receivedAtMilliseconds: this.dependencies.clock.nowMilliseconds() });
        }
    }

    /**
     * Removes the ids of an entry that is shutting down, because it does not hold the state of new submissions.
     *
     * @param entry - base address of the entry
     */
    public removeIdsFromEntry(entry: string): void {
        const kept = this.ids.filter(id => id.entry !== entry);
        this.ids.splice(0, this.ids.length, ...kept);
    }

    /**
     * Takes an id from the pool; requests a batch from the entries when the pool is empty.
     *
     * @param giveUpAtMilliseconds - time until which to wait for an id, in milliseconds since the Unix epoch
     * @returns an id, or undefined when no entry issued one in time
     */
    public async takeId(giveUpAtMilliseconds: number): Promise<IssuedId | undefined> {
        const backoff = new Backoff(this.dependencies.options, this.dependencies.random);
        this.waitingJobs += 1;
        try {
            for (;;) {
                const id = this.takeUnexpiredId();
                if (id !== undefined) {
                    return id;
                }
                if (this.dependencies.clock.nowMilliseconds() >= giveUpAtMilliseconds) {
                    return undefined;
                }
                this.pendingRefill ??= this.requestBatch().finally(() => {
                    this.pendingRefill = undefined;
                });
                await this.pendingRefill;
                if (this.ids.length === 0) {
                    await this.dependencies.delay.wait(
                        this.limitWaitMilliseconds(backoff.nextDelayMilliseconds(), giveUpAtMilliseconds),
                    );
                }
            }
        }
        finally {
            this.waitingJobs -= 1;
        }
    }

    private takeUnexpiredId(): IssuedId | undefined {
        const oldestAllowedMilliseconds = this.dependencies.clock.nowMilliseconds()
            - this.dependencies.options.maximumIdAgeMilliseconds;
        while (this.ids[0] !== undefined && this.ids[0].receivedAtMilliseconds < oldestAllowedMilliseconds) {
            this.ids.shift();
        }
        return this.ids.shift();
    }

    private limitWaitMilliseconds(waitMilliseconds: number, giveUpAtMilliseconds: number): number {
        return Math.max(
            1,
            Math.min(waitMilliseconds, giveUpAtMilliseconds - this.dependencies.clock.nowMilliseconds()),
        );
    }

    /** Requests a batch of ids from one entry after another until one of them issues ids. */
    private async requestBatch(): Promise<void> {
        const { options, transport, entries, messages } = this.dependencies;
        for (let attempt = 0; attempt < entries.size; attempt += 1) {
            const entry = entries.choose();
            const count = Math.min(maximumPooledIds, Math.max(options.idBatchSize, this.waitingJobs));
            const outcome = await transport.send({
                method: "POST",
                entry,
                path: `/v1/submissions?count=${count}`,
                headers: {},
                timeoutMilliseconds: options.requestTimeoutMilliseconds,
            });
            if (outcome.kind !== "not-sent") {
                messages.increment("issues");
            }
            const ids = outcome.kind === "response" ? parseIssuedIds(outcome) : [];
            if (ids.length > 0) {
                entries.recordSuccess(entry);
                ids.forEach(id => this.addId(id, entry));
                return;
            }
            entries.recordFailure(entry);
        }
    }
}
