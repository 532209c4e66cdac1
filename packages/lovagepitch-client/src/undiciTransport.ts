/**
 * HTTP transport that uses undici.
 */
import { Agent, request as sendRequest } from "undici";
import { HttpTransport, type TransportOutcome, type TransportRequest } from "./httpTransport.js";

const connectTimeoutMilliseconds = 2000;
const maximumResponseBytes = 256 * 1024 * 1024;

/** Error codes of failures to establish a connection. */
const notSentCodes: ReadonlySet<unknown> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Sends requests over persistent connections; a request that times out closes its connection. */
export class UndiciTransport extends HttpTransport {
    private readonly agent = new Agent({
        connect: { timeout: connectTimeoutMilliseconds },
        maxResponseSize: maximumResponseBytes,
        pipelining: 1,
        // The abort signal of each request limits the whole exchange.
        headersTimeout: 0,
        bodyTimeout: 0,
    });

    /** {@inheritDoc HttpTransport.send} */
    public override async send(request: TransportRequest): Promise<TransportOutcome> {
        try {
            const response = await sendRequest(request.entry + request.path, {
                dispatcher: this.agent,
                method: request.method,
                headers: request.headers,
                ...(request.body === undefined ? {} : { body: request.body }),
                signal: AbortSignal.timeout(Math.max(1, Math.ceil(request.timeoutMilliseconds))),
            });
            const body = await response.body.text();
            return { kind: "response", status: response.statusCode, headers: joinHeaders(response.headers), body };
        }
        catch (error) {
            return createFailureOutcome(error);
        }
    }

    /** {@inheritDoc HttpTransport.close} */
    public override async close(): Promise<void> {
        await this.agent.destroy();
    }
}

function joinHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> {
    const joined: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined) {
            joined[name.toLowerCase()] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return joined;
}

function createFailureOutcome(error: unknown): TransportOutcome {
    const reason = error instanceof Error ? error.message : String(error);
    const code = typeof error === "object" && error !== null && "code" in error ? error.code : undefined;
    return { kind: notSentCodes.has(code) ? "not-sent" : "no-answer", reason };
}
