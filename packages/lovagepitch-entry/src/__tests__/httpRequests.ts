/**
 * Invalid requests for the tests of the HTTP server.
 */
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { createJob, type HttpServerFixture, maximumBodyBytes } from "./httpServerFixture.js";

type CallParameters = Parameters<HttpServerFixture["call"]>;

/** Headers of a JSON body. */
export const jsonHeaders = { "content-type": "application/json" };
/** Headers of a JSON body with a caller's key. */
export const keyHeaders = { ...jsonHeaders, "idempotency-key": "key-1" };
/** Path of a submission. */
export const submissionPath = "/v1/submissions/id-1";
/** Body of a valid job. */
export const jobText = JSON.stringify(createJob());

/** A randomly generated request. */
export interface RandomRequest {
    readonly method: string;
    readonly target: string;
    readonly type: string;
    readonly key: string;
    readonly body: Buffer;
}

/**
 * Creates a request that the server refuses.
 *
 * @param name - name of the case in the feature file
 * @returns arguments of `HttpServerFixture.call`
 */
export function createBadRequest(name: string): CallParameters {
    const large = JSON.stringify({ ...createJob(), team: "x".repeat(maximumBodyBytes) });
    const deep = "[".repeat(5_000) + "]".repeat(5_000);
    const requests: Readonly<Record<string, CallParameters>> = {
        "PUT of bad JSON": ["PUT", submissionPath, "{", jsonHeaders],
        "PUT of an unknown field": ["PUT", submissionPath, JSON.stringify({ ...createJob(), colour: 1 }), jsonHeaders],
        "PUT of a wrong type": ["PUT", submissionPath, JSON.stringify({ ...createJob(), team: 1 }), jsonHeaders],
        "PUT of no body": ["PUT", submissionPath],
        "PUT of an empty body": ["PUT", submissionPath, "", jsonHeaders],
        "PUT of text": ["PUT", submissionPath, jobText, { "content-type": "text/plain" }],
        "PUT of compressed bytes": ["PUT", submissionPath, jobText, { ...jsonHeaders, "content-encoding": "gzip" }],
        "PUT of broken UTF-8": ["PUT", submissionPath, Uint8Array.from([0x22, 0xff, 0x22]), jsonHeaders],
        "PUT of a deep payload": [
            "PUT",
            submissionPath,
            jobText.replace("\"payload\":0", `"payload":${nest(100)}`),
            jsonHeaders,
        ],
        "PUT of a deep body": ["PUT", submissionPath, deep.slice(3_500, 6_500), jsonHeaders],
        "PUT of a large body": ["PUT", submissionPath, large, jsonHeaders],
        "PUT of a far too large body": ["PUT", submissionPath, "x".repeat(maximumBodyBytes * 5), jsonHeaders],
        "POST of bad JSON": ["POST", "/v1/jobs", "{", keyHeaders],
        "POST of a large body": ["POST", "/v1/jobs", large, keyHeaders],
        "POST without a key": ["POST", "/v1/jobs", jobText, jsonHeaders],
        "POST with a long key": ["POST", "/v1/jobs", jobText, { ...jsonHeaders, "idempotency-key": "k".repeat(257) }],
        "POST with a non-ASCII key": ["POST", "/v1/jobs", jobText, { ...jsonHeaders, "idempotency-key": "\u00e9" }],
        "a wrong path": ["GET", "/v1/nothing"],
        "an unknown subpath": ["GET", "/v1/submissions/id-1/tasks"],
        "a wrong method": ["PATCH", submissionPath, jobText, jsonHeaders],
        "a wrong type": ["PUT", submissionPath, jobText, { "content-type": "text/plain" }],
    };
    const request = requests[name];
    assert.ok(request !== undefined, `no bad request is named ${name}`);
    return request;
}

function nest(depth: number): string {
    return "[".repeat(depth) + "]".repeat(depth);
}

/**
 * Creates bytes that are not a valid HTTP request.
 *
 * @param name - name of the case in the feature file
 * @returns bytes to send
 */
export function createMalformedBytes(name: string): string {
    const put = `PUT ${submissionPath} HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n`;
    const bytes: Readonly<Record<string, string>> = {
        "noise": "\u0000\u0001 noise\r\n\r\n",
        "large header": `GET ${submissionPath} HTTP/1.1\r\nHost: a\r\nX: ${"x".repeat(20_000)}\r\n\r\n`,
        "two lengths": `${put}Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx`,
        "negative length": `${put}Content-Length: -1\r\n\r\n`,
        "bad chunk": `${put}Transfer-Encoding: chunked\r\n\r\nzz\r\n`,
    };
    const found = bytes[name];
    assert.ok(found !== undefined, `no bytes are named ${name}`);
    return found;
}

/**
 * Generates random requests, all of which a core without submissions refuses.
 *
 * @returns arbitrary that generates the requests
 */
export function createRandomRequests(): fastCheck.Arbitrary<RandomRequest> {
    const word = fastCheck.string({ maxLength: 30 }).map(encodeURIComponent);
    const target = fastCheck.oneof(
        word.map(id => `/v1/submissions/x${id}`),
        fastCheck.constantFrom(
            "/v1/jobs",
            "/v1/submissions?count=x",
            "/v1/submissions/id-1",
            "//",
            "/v1/submissions//",
        ),
        fastCheck.array(word, { maxLength: 5 }).map(words => `/${words.join("/")}/x`),
    );
    const job = fastCheck.record({
        team: fastCheck.oneof(fastCheck.string(), fastCheck.jsonValue()),
        service: fastCheck.constantFrom("s", 1),
        kind: fastCheck.constantFrom("k", false),
        deadlineMilliseconds: fastCheck.oneof(fastCheck.integer(), fastCheck.double()),
        tasks: fastCheck.oneof(fastCheck.array(fastCheck.jsonValue(), { maxLength: 3 }), fastCheck.jsonValue()),
    }, { requiredKeys: [] });
    const body = fastCheck.oneof(
        fastCheck.string().map(text => Buffer.from(text)),
        fastCheck.uint8Array({ maxLength: 200 }).map(bytes => Buffer.from(bytes)),
        job.map(value => Buffer.from(JSON.stringify(value))),
        fastCheck.json().map(text => Buffer.from(text)),
    );
    return fastCheck.record({
        method: fastCheck.constantFrom("GET", "PUT", "POST", "DELETE", "PATCH", "OPTIONS", "PROPFIND"),
        target,
        type: fastCheck.constantFrom("application/json", "application/json;", "text/plain", ";", "application/JSON"),
        key: fastCheck.string({ maxLength: 300, unit: "grapheme-ascii" }),
        body,
    });
}
