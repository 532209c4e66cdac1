/**
 * HTTP requests to the platform, within the rate limits of this process.
 */
import type { PlatformSettings } from "@lovagepitch/types/settings";
import type { Clock } from "@lovagepitch/utils/clock";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { describeFault, validateValue } from "@lovagepitch/utils/validateValue";
import { Pool } from "undici";
import type { z } from "zod";
import type { Delay } from "./delay.js";
import { PlatformError } from "./platformError.js";
import { platformStatus } from "./platformProtocol.js";
import { RetryBudget } from "./retryBudget.js";
import { RetryPolicy } from "./retryPolicy.js";
import { TokenBucket } from "./tokenBucket.js";

const connectionsPerProcess = 8;
const retriesPerRequest = 0.1;
const maximumReadAttempts = 3;
/** Attempts that must fit into a read's deadline, so that a second one can use another connection. */
const attemptsPerReadDeadline = 2;

/** A request to the platform. */
export interface PlatformRequest {
    readonly method: "GET" | "POST" | "PUT";
    /** Path and query under the platform's address. */
    readonly path: string;
    readonly body?: Uint8Array | string;
    readonly maximumResponseBytes: number;
}

/** A response of the platform that does not report a failure of the service. */
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
     * @param settings - address, request timeout and rates
     * @param clock - source of time
     * @param random - source of jitter
     * @param delay - waits for rate limits and backoff
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
     * Sends a read request; failed attempts are retried within the deadline and the retry budget.
     *
     * @param request - request without side effects
     * @returns the response, or the error of the last attempt that was sent
     */
    public async read(request: PlatformRequest): Promise<Result<PlatformResponse, PlatformError>> {
        const deadlineMilliseconds = this.clock.nowMilliseconds() + this.settings.requestTimeoutMilliseconds;
        const attemptTimeoutMilliseconds = this.settings.requestTimeoutMilliseconds / attemptsPerReadDeadline;
        this.retryBudget.recordRequest();
        let response = await this.attempt(request, this.readLimit, deadlineMilliseconds, attemptTimeoutMilliseconds);
        for (
            let attempt = 1;
            attempt < maximumReadAttempts && this.canRetry(response, deadlineMilliseconds);
            attempt += 1
        ) {
            await this.readRetries.waitBefore(attempt);
            const repeated = await this.attempt(
                request,
                this.readLimit,
                deadlineMilliseconds,
                attemptTimeoutMilliseconds,
            );
            if (repeated.err && repeated.val.kind === "throttled") {
                // The rate limit or the deadline prevented the retry, but an earlier attempt was sent.
                return response;
            }
            response = repeated;
        }
        return response;
    }

    /**
     * Sends a write request at most once.
     *
     * @param request - request with side effects
     * @returns the response, or the error; after "unavailable" the write may have taken effect
     */
    public async write(request: PlatformRequest): Promise<Result<PlatformResponse, PlatformError>> {
        const deadlineMilliseconds = this.clock.nowMilliseconds() + this.settings.requestTimeoutMilliseconds;
        const response = await this.attempt(
            request,
            this.writeLimit,
            deadlineMilliseconds,
            this.settings.requestTimeoutMilliseconds,
        );
        if (response.err && response.val.kind === "invalid") {
            // The request was sent, so after an unusable response it is unknown whether it took effect.
            return Err(new PlatformError("unavailable", response.val.message));
        }
        return response;
    }

    /**
     * Closes every connection; requests in flight fail.
     *
     * @returns a promise that resolves when all connections are closed
     */
    public async close(): Promise<void> {
        await this.pool.destroy();
    }

    private canRetry(response: Result<PlatformResponse, PlatformError>, deadlineMilliseconds: number): boolean {
        if (response.ok || response.val.kind !== "unavailable") {
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
        // Waiting longer than half of the remaining time would leave too little for the request itself.
        const maximumWaitMilliseconds = (deadlineMilliseconds - this.clock.nowMilliseconds()) / 2;
        const waitMilliseconds = bucket.reserve(maximumWaitMilliseconds);
        if (waitMilliseconds === undefined) {
            const setting = bucket === this.readLimit ? "platform.readsPerSecond" : "platform.writesPerSecond";
            const message = `The rate limit of requests to the platform is exhausted; wait, or raise ${setting}`;
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
                    `The platform's response exceeds ${request.maximumResponseBytes} bytes; remove old data`;
                return Err(new PlatformError("invalid", message));
            }
            return checkStatus(response.statusCode, body);
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            return Err(
                new PlatformError("unavailable", `No response from the platform (${reason}); check that it is running`),
            );
        }
    }
}

/**
 * Parses and validates the JSON body of a response.
 *
 * @param response - response of the platform
 * @param schema - validates the content
 * @returns the validated content, or the error that names the first violation
 */
export function parseResponse<Content>(
    response: PlatformResponse,
    schema: z.ZodType<Content>,
): Result<Content, PlatformError> {
    return validateValue(schema, parseJson(response.body)).mapErr(issue => {
        const problem = describeFault(issue);
        const message =
            `The platform responded ${response.status} with unexpected content; check platform.url (${problem})`;
        return new PlatformError("invalid", message);
    });
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
        const message = `The platform responded with status ${status}; wait until it is available`;
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
