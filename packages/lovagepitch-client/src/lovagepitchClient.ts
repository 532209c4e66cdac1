/**
 * The client of lovagepitch's entries.
 */
import type { JobRequest } from "@lovagepitch/types/job";
import { type Clock, SystemClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { randomInt, randomUUID } from "node:crypto";
import { type ClientOptions, defaultClientOptions, type RunJobOptions } from "./clientOptions.js";
import type { ClientParts } from "./clientParts.js";
import { type Delay, TimerDelay } from "./delay.js";
import { EntrySelector } from "./entrySelector.js";
import type { HttpTransport } from "./httpTransport.js";
import type { JobResult } from "./jobResult.js";
import { createUnreachable, JobRun, type RunIdentity } from "./jobRun.js";
import { MessageCounter, type MessageCounts } from "./messageCounts.js";
import { SubmissionPool } from "./submissionPool.js";
import { UndiciTransport } from "./undiciTransport.js";

const largestSeed = 0x7fff_ffff;

/** What tests replace. */
export interface ClientEnvironment {
    readonly transport: HttpTransport;
    readonly clock: Clock;
    readonly delay: Delay;
    readonly random: RandomSource;
}

/** Options that every caller names, and those it wants to change. */
export type LovagepitchClientOptions = Pick<ClientOptions, "entries" | "identity"> & Partial<ClientOptions>;

/** Runs jobs; every job is submitted as one piece of work, however often it has to be sent. */
export class LovagepitchClient {
    private readonly parts: ClientParts;
    private readonly pool: SubmissionPool;

    /**
     * @param options - entries, kind of identity, and times
     * @param environment - what tests replace
     */
    public constructor(options: LovagepitchClientOptions, environment: Partial<ClientEnvironment> = {}) {
        const clock = environment.clock ?? new SystemClock();
        this.parts = {
            options: { ...defaultClientOptions, ...options },
            transport: environment.transport ?? new UndiciTransport(),
            clock,
            delay: environment.delay ?? new TimerDelay(),
            random: environment.random ?? new RandomSource(randomInt(largestSeed)),
            entries: new EntrySelector(options.entries, clock),
            messages: new MessageCounter(),
        };
        this.pool = new SubmissionPool(this.parts);
    }

    /** Messages sent so far. */
    public get messages(): MessageCounts {
        return this.parts.messages.read();
    }

    /**
     * Runs a job.
     *
     * @param job - the job
     * @param options - the caller's key and time limit
     * @returns how it ended; never rejects for a failure of the system or the network
     */
    public async runJob(job: JobRequest, options: RunJobOptions = {}): Promise<JobResult> {
        const limit = options.timeLimitMilliseconds
            ?? job.deadlineMilliseconds + this.parts.options.resubmissionMarginMilliseconds;
        const giveUpAtMilliseconds = this.parts.clock.nowMilliseconds() + limit;
        const identity = await this.createIdentity(options, giveUpAtMilliseconds);
        if (identity === undefined) {
            const problem = createUnreachable("none of them issued a submission id in time");
            return { kind: "refused", problem, identity: { kind: "none" } };
        }
        return new JobRun(this.parts, this.pool, job, identity, giveUpAtMilliseconds).run();
    }

    /**
     * Closes all connections; jobs under way end as unknown.
     *
     * @returns a promise that resolves when they are closed
     */
    public async close(): Promise<void> {
        await this.parts.transport.close();
    }

    private async createIdentity(
        options: RunJobOptions,
        giveUpAtMilliseconds: number,
    ): Promise<RunIdentity | undefined> {
        if (this.parts.options.identity === "caller-keys") {
            const key = options.key ?? randomUUID();
            return { identity: { kind: "caller-key", key }, isPrivate: options.key === undefined };
        }
        const id = await this.pool.take(giveUpAtMilliseconds);
        if (id === undefined) {
            return undefined;
        }
        return { identity: { kind: "issued-id", submission: id.submission }, entry: id.entry, isPrivate: true };
    }
}
