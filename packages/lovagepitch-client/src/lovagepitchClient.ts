/**
 * Client that runs jobs through lovagepitch's entries.
 */
import type { JobRequest } from "@lovagepitch/types/job";
import { type Clock, SystemClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { randomInt, randomUUID } from "node:crypto";
import type { ClientDependencies } from "./clientDependencies.js";
import { type ClientOptions, defaultClientOptions, type RunJobOptions } from "./clientOptions.js";
import { type Delay, TimerDelay } from "./delay.js";
import { EntrySelector } from "./entrySelector.js";
import type { HttpTransport } from "./httpTransport.js";
import type { JobResult } from "./jobResult.js";
import { createUnreachableProblem, JobRun, type RunIdentity } from "./jobRun.js";
import { MessageCounter, type MessageCounts } from "./messageCounts.js";
import { SubmissionPool } from "./submissionPool.js";
import { UndiciTransport } from "./undiciTransport.js";

const maximumSeed = 0x7fff_ffff;

/** Interfaces to network, time and randomness, which tests replace. */
export interface ClientEnvironment {
    readonly transport: HttpTransport;
    readonly clock: Clock;
    readonly delay: Delay;
    readonly random: RandomSource;
}

/** Required options, and any others that differ from the defaults. */
export type LovagepitchClientOptions = Pick<ClientOptions, "entries" | "identity"> & Partial<ClientOptions>;

/** Runs jobs; all attempts of a job count as one submission, however often it is sent. */
export class LovagepitchClient {
    private readonly dependencies: ClientDependencies;
    private readonly pool: SubmissionPool;

    /**
     * @param options - entries, kind of identity, and options that differ from the defaults
     * @param environment - replacements for network, time and randomness, for tests
     */
    public constructor(options: LovagepitchClientOptions, environment: Partial<ClientEnvironment> = {}) {
        const clock = environment.clock ?? new SystemClock();
        this.dependencies = {
            options: { ...defaultClientOptions, ...options },
            transport: environment.transport ?? new UndiciTransport(),
            clock,
            delay: environment.delay ?? new TimerDelay(),
            random: environment.random ?? new RandomSource(randomInt(maximumSeed)),
            entries: new EntrySelector(options.entries, clock),
            messages: new MessageCounter(),
        };
        this.pool = new SubmissionPool(this.dependencies);
    }

    /** Number of messages sent so far, by purpose. */
    public get messages(): MessageCounts {
        return this.dependencies.messages.getCounts();
    }

    /**
     * Runs a job and waits for its result.
     *
     * @param job - the job to submit
     * @param options - idempotency key and time limit of the job
     * @returns the job's result; the promise does not reject on failures of the system or the network
     */
    public async runJob(job: JobRequest, options: RunJobOptions = {}): Promise<JobResult> {
        const limit = options.timeLimitMilliseconds
            ?? job.deadlineMilliseconds + this.dependencies.options.resubmissionMarginMilliseconds;
        const giveUpAtMilliseconds = this.dependencies.clock.nowMilliseconds() + limit;
        const identity = await this.createIdentity(options, giveUpAtMilliseconds);
        if (identity === undefined) {
            const problem = createUnreachableProblem("no entry issued a submission id within the time limit");
            return { kind: "refused", problem, identity: { kind: "none" } };
        }
        return new JobRun(this.dependencies, this.pool, job, identity, giveUpAtMilliseconds).run();
    }

    /**
     * Closes all connections; jobs in progress end with the outcome `unknown`.
     *
     * @returns a promise that resolves when they are closed
     */
    public async close(): Promise<void> {
        await this.dependencies.transport.close();
    }

    private async createIdentity(
        options: RunJobOptions,
        giveUpAtMilliseconds: number,
    ): Promise<RunIdentity | undefined> {
        if (this.dependencies.options.identity === "caller-keys") {
            const key = options.key ?? randomUUID();
            return { identity: { kind: "caller-key", key }, isPrivate: options.key === undefined };
        }
        const id = await this.pool.takeId(giveUpAtMilliseconds);
        if (id === undefined) {
            return undefined;
        }
        return { identity: { kind: "issued-id", submission: id.submission }, entry: id.entry, isPrivate: true };
    }
}
