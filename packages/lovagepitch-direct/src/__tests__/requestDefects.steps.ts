import { After, Given, Then, When } from "@cucumber/cucumber";
import { MonotonicClock } from "@lovagepitch/utils/monotonicClock";
import assert from "node:assert/strict";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type BoundedHttpServer, internalRequestLimits } from "../connections/boundedHttpServer.js";
import { defaultResources } from "../connections/connectionLimits.js";
import { DirectMetrics } from "../process/directMetrics.js";
import { ProcessListeners } from "../process/processListeners.js";
import type { RateLimitedLog } from "../process/rateLimitedLog.js";

/** Length of the text of the error, in characters. */
const errorLength = 100_000;

const processes: Readonly<Record<string, (response: ServerResponse, request: IncomingMessage) => void>> = {
    "at its headers": () => fail(),
    "at the end of its body": (response, request) => {
        request.resume().on("end", () => server.processSafely(response, fail));
    },
    "after the response began": response => {
        response.writeHead(200, { "content-length": 10 }).write("begun");
        fail();
    },
};

let server: BoundedHttpServer;
let port = 0;
let outcome = "";
let lines: string[] = [];
let controller = new AbortController();

function fail(): never {
    throw new Error("x".repeat(errorLength));
}

Given(
    /^an HTTP server whose processing of "\/defect" throws an error (.*)$/,
    async (when: string) => {
        const process = processes[when];
        assert.ok(process);
        lines = [];
        const log = {
            write: (_level: string, event: string, fields: object) => lines.push(JSON.stringify({ event, ...fields })),
        } as unknown as RateLimitedLog;
        const listeners = new ProcessListeners(new MonotonicClock(), log, new DirectMetrics(), defaultResources);
        controller = new AbortController();
        server = listeners.create("requests", {
            listener: "requests",
            maximumOpenRequests: 4,
            getRequestLimits: () => internalRequestLimits,
            onRequest: (request, response) => {
                if (request.url === "/defect") {
                    process(response, request);
                    return;
                }
                response.writeHead(200, { "content-length": 0 }).end();
            },
        });
        port = await server.listen({ host: "127.0.0.1", port: 0 });
    },
);

After({ tags: "@request-defects" }, () => controller.abort());

When("a client requests {string}", async (path: string) => {
    try {
        const { signal } = controller;
        const response = await fetch(`http://127.0.0.1:${port}${path}`, { method: "POST", body: "{}", signal });
        await response.text();
        outcome = `status ${response.status}`;
    }
    catch {
        outcome = "an incomplete response";
    }
});

Then(/^the client gets (status \d+|an incomplete response)$/, (expected: string) => {
    assert.equal(outcome, expected);
});

Then(
    "the log has {int} line of at most {int} characters with the error",
    (count: number, maximum: number) => {
        const defects = lines.filter(line => line.includes("request failed because of an error"));
        assert.equal(defects.length, count);
        assert.ok(defects.every(line => line.includes("Error: xxx") && line.length <= maximum));
    },
);
