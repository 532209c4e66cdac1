/**
 * HTTP requests to the platform, within this process's limits.
 */
import type { PlatformSettings } from "@lovagepitch/types/settings";
import type { Clock } from "@lovagepitch/utils/clock";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { Pool } from "undici";
import { z } from "zod";
import type { Delay } from "./delay.js";
import { PlatformError } from "./platformError.js";
import { platformStatus } from "./platformProtocol.js";
import { RetryBudget } from "./retryBudget.js";
import { RetryPolicy } from "./retryPolicy.js";
import { TokenBucket } from "./tokenBucket.js";

const connectionsPerProcess = 8;
const retriesPerRequest = 0.1;
const maximumReadAttempts = 3;
/** A silent connection must leave time for a second attempt on another one. */
const attemptsPerReadDeadline = 2;

/** A request to the platform. */
export interface PlatformRequest {
    readonly method: "GET" | "POST" | "PUT";
    /** Path and query under the platform's address. */
    readonly path: string;
    readonly body?: Uint8Array | string;
    readonly maximumResponseBytes: number;
}

/** An answer of the platform that is not a failure of the service. */
export interface PlatformResponse {
    readonly status: number;
    readonly body: Buffer;
}

/** The connections of one process to the platform, with its rate limits and its retry budget. */
export class PlatformConnection {
    private readonly pool: Pool;
    private readonly basePath: string;
    private readonly readLimit: TokenBucket;
    private readonly writeLimit: TokenBucket;
    private readonly retryBudget = new RetryBudget(retriesPerRequest);
    private readonly readRetries: RetryPolicy;

    /**
     * @param settings - address, deadline and rates
     * @param clock - source of time
     * @param random - source of jitter
     * @param delay - lets time pass
     */
    public constructor(
        private readonly settings: PlatformSettings,
        private readonly clock: Clock,
        random: RandomSource,
        private readonly delay: Delay,
    ) {
        const url = new URL(settings.url);
        this.basePath = url.pathname.replace(/\/$/, "");
        this.pool = new Pool(url.origin, {
            connections: connectionsPerProcess,
            pipelining: 1,
            connect: { timeout: settings.requestTimeoutMilliseconds },
        });
        this.readLimit = new TokenBucket(settings.readsPerSecond, Math.max(1, settings.readsPerSecond), clock);
        this.writeLimit = new TokenBucket(settings.writesPerSecond, Math.max(1, settings.writesPerSecond), clock);
        this.readRetries = new RetryPolicy(random, delay, maximumReadAttempts);
    }

    /**
     * Reads; a failed attempt is repeated within the deadline and the retry budget.
     *
     * @param request - a request without effects
     * @returns the answer, or why there is none
     */
    public async read(request: PlatformRequest): Promise<Result<PlatformResponse, PlatformError>> {
        const deadline = this.clock.nowMilliseconds() + this.settings.requestTimeoutMilliseconds;
        const attemptTimeout = this.settings.requestTimeoutMilliseconds / attemptsPerReadDeadline;
        this.retryBudget.recordRequest();
        let answer = await this.attempt(request, this.readLimit, deadline, attemptTimeout);
        for (let attempt = 1; attempt < maximumReadAttempts && this.canRetry(answer, deadline); attempt += 1) {
            await this.readRetries.waitBefore(attempt);
            const repeated = await this.attempt(request, this.readLimit, deadline, attemptTimeout);
            if (repeated.err && repeated.val.kind === "throttled") {
                // The rate or the deadline left no room for a retry, but the first attempt was sent.
                return answer;
            }
            answer = repeated;
        }
        return answer;
    }

    /**
     * Writes; the request is sent once at most.
     *
     * @param request - a request with effects
     * @returns the answer, or why there is none; after "unavailable" the write may have taken effect
     */
    public async write(request: PlatformRequest): Promise<Result<PlatformResponse, PlatformError>> {
        const deadline = this.clock.nowMilliseconds() + this.settings.requestTimeoutMilliseconds;
        const answer = await this.attempt(request, this.writeLimit, deadline, this.settings.requestTimeoutMilliseconds);
        if (answer.err && answer.val.kind === "invalid") {
            // The request was sent, so an answer that cannot be used says nothing about its effect.
            return Err(new PlatformError("unavailable", answer.val.message));
        }
        return answer;
    }

    /**
     * Closes every connection; requests under way fail.
     *
     * @returns a promise that resolves when they are closed
     */
    public async close(): Promise<void> {
        await this.pool.destroy();
    }

    private canRetry(answer: Result<PlatformResponse, PlatformError>, deadlineMilliseconds: number): boolean {
        if (answer.ok || answer.val.kind !== "unavailable") {
            return false;
        }
        return this.clock.nowMilliseconds() < deadlineMilliseconds && this.retryBudget.takeRetry();
    }

    private async attempt(
        request: PlatformRequest,
        bucket: TokenBucket,
        deadlineMilliseconds: number,
        attemptTimeoutMilliseconds: number,
    ): Promise<Result<PlatformResponse, PlatformError>> {
        // A token that comes late in the deadline would leave no time for the request itself.
        const maximumWaitMilliseconds = (deadlineMilliseconds - this.clock.nowMilliseconds()) / 2;
        const waitMilliseconds = bucket.reserve(maximumWaitMilliseconds);
        if (waitMilliseconds === undefined) {
            const setting = bucket === this.readLimit ? "platform.readsPerSecond" : "platform.writesPerSecond";
            const message = `This process's limit of requests to the platform is used up; wait, or raise ${setting}`;
            return Err(new PlatformError("throttled", message));
        }
        if (waitMilliseconds > 0) {
            await this.delay.wait(waitMilliseconds);
        }
        const remainingMilliseconds = deadlineMilliseconds - this.clock.nowMilliseconds();
        return this.send(request, Math.max(1, Math.min(remainingMilliseconds, attemptTimeoutMilliseconds)));
    }

    private async send(
        request: PlatformRequest,
        timeoutMilliseconds: number,
    ): Promise<Result<PlatformResponse, PlatformError>> {
        try {
            const response = await this.pool.request({
                method: request.method,
                path: this.basePath + request.path,
                body: request.body,
                headers: typeof request.body === "string" ? { "content-type": "application/json" } : {},
                signal: AbortSignal.timeout(timeoutMilliseconds),
            });
            const body = await readBody(response.body, request.maximumResponseBytes);
            if (body === undefined) {
                const message =
                    `The platform's answer is over ${request.maximumResponseBytes} bytes; remove what is old`;
                return Err(new PlatformError("invalid", message));
            }
            return checkStatus(response.statusCode, body);
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            return Err(
                new PlatformError("unavailable", `No answer from the platform (${reason}); check that it is up`),
            );
        }
    }
}

/**
 * Reads an answer's JSON text.
 *
 * @param answer - the answer
 * @param schema - what the text must hold
 * @returns the checked content, or the error that names what is wrong
 */
export function parseResponse<Content>(
    answer: PlatformResponse,
    schema: z.ZodType<Content>,
): Result<Content, PlatformError> {
    const parsed = schema.safeParse(parseJson(answer.body));
    if (parsed.success) {
        return Ok(parsed.data);
    }
    const problem = z.prettifyError(parsed.error);
    const message = `The platform answered ${answer.status} with unexpected content; check platform.url (${problem})`;
    return Err(new PlatformError("invalid", message));
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch {
        return undefined;
    }
}

function checkStatus(status: number, body: Buffer): Result<PlatformResponse, PlatformError> {
    if (status >= platformStatus.firstServerError || status === platformStatus.tooManyRequests) {
        const message = `The platform answered with status ${status}; wait until it is up`;
        return Err(new PlatformError("unavailable", message));
    }
    return Ok({ status, body });
}

async function readBody(body: AsyncIterable<Uint8Array>, maximumBytes: number): Promise<Buffer | undefined> {
    const chunks: Uint8Array[] = [];
    let bytes = 0;
    for await (const chunk of body) {
        bytes += chunk.length;
        if (bytes > maximumBytes) {
            return undefined;
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}
