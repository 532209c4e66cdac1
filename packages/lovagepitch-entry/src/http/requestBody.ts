/**
 * Reads JSON bodies up to a maximum size.
 */
import type { Problem } from "@lovagepitch/types/problem";
import { ByteCollector } from "@lovagepitch/utils/byteCollector";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import type { IncomingMessage } from "node:http";
import { createMalformedProblem, createTooLargeProblem } from "./requestProblems.js";

/** Multiple of the limit up to which a larger body is read and discarded, so that its caller reads the refusal. */
const discardFactor = 4;

/** Why a body could not be read: a problem for the caller, or a closed connection. */
export type BodyFailure = Problem | "caller-disconnected";

/**
 * Reads a request's body as JSON.
 *
 * @param request - request whose body is read
 * @param maximumBytes - maximum size of the body
 * @returns the parsed body, not validated, or why it could not be read
 */
export async function readJsonBody(
    request: IncomingMessage,
    maximumBytes: number,
): Promise<Result<unknown, BodyFailure>> {
    const declaredBytes = Number(request.headers["content-length"] ?? 0);
    if (declaredBytes > maximumBytes * discardFactor) {
        return Err(createTooLargeProblem(maximumBytes));
    }
    const bytes = await readBytes(request, maximumBytes);
    const refusal = checkHeaders(request);
    return refusal === undefined ? bytes.andThen(parseJson) : Err(refusal);
}

/**
 * Tells whether a part of a request's body may still be in transit.
 *
 * @param request - request that is about to be answered
 * @returns true when the connection cannot carry another request
 */
export function hasUnreadBody(request: IncomingMessage): boolean {
    const hasBody = request.headers["transfer-encoding"] !== undefined
        || Number(request.headers["content-length"] ?? 0) > 0;
    return hasBody && !request.complete;
}

function checkHeaders(request: IncomingMessage): Problem | undefined {
    const mediaType = (request.headers["content-type"] ?? "").split(";")[0]?.trim().toLowerCase();
    if (mediaType !== "application/json") {
        const remedy = "Send JSON with the header Content-Type: application/json.";
        return createMalformedProblem(415, "The body's media type is not application/json", remedy);
    }
    const encoding = request.headers["content-encoding"] ?? "identity";
    if (encoding.toLowerCase() !== "identity") {
        return createMalformedProblem(415, "The body is compressed", "Send the body without Content-Encoding.");
    }
    return undefined;
}

function readBytes(request: IncomingMessage, maximumBytes: number): Promise<Result<Buffer, BodyFailure>> {
    return new Promise(resolve => {
        const collector = new ByteCollector();
        let length = 0;
        request.on("data", (chunk: Buffer) => {
            length += chunk.length;
            if (length <= maximumBytes) {
                collector.add(chunk);
                return;
            }
            collector.clear();
            if (length > maximumBytes * discardFactor) {
                request.pause();
                resolve(Err(createTooLargeProblem(maximumBytes)));
            }
        });
        request.on("end", () => {
            resolve(length > maximumBytes ? Err(createTooLargeProblem(maximumBytes)) : Ok(collector.concat()));
        });
        request.on("error", () => resolve(Err("caller-disconnected")));
        request.on("close", () => resolve(Err("caller-disconnected")));
    });
}

function parseJson(bytes: Buffer): Result<unknown, BodyFailure> {
    try {
        return Ok(JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(bytes)));
    }
    catch {
        return Err(createMalformedProblem(400, "The body is not JSON in UTF-8", "Send one JSON document in UTF-8."));
    }
}
