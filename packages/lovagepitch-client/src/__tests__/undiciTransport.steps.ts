import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { TransportOutcome } from "../httpTransport.js";
import { UndiciTransport } from "../undiciTransport.js";

let server: Server | undefined;
let entry = "";
let outcome: TransportOutcome;
const receivedRequests: string[] = [];

function respondAs(behaviour: string, response: ServerResponse): void {
    switch (behaviour) {
        case "respond":
            response.writeHead(201, { "Lovagepitch-Next-Submission": "s1" }).end("{}");
            return;
        case "close the connection":
            response.destroy();
            return;
        case "close within the body":
            response.writeHead(200, { "content-length": 100 });
            response.write("{", () => response.destroy());
            return;
        default:
            return;
    }
}

async function closeServer(): Promise<void> {
    const closing = server;
    server = undefined;
    closing?.closeAllConnections();
    await new Promise<void>(resolve => closing === undefined ? resolve() : closing.close(() => resolve()));
}

After(closeServer);

Given("an HTTP server for the client that will {string}", async (behaviour: string) => {
    receivedRequests.length = 0;
    const listening = createServer((request, response) => {
        receivedRequests.push(`${request.method} ${request.url} ${String(request.headers["idempotency-key"])}`);
        respondAs(behaviour, response);
    });
    server = listening;
    await new Promise<void>(resolve => listening.listen(0, "127.0.0.1", resolve));
    entry = `http://127.0.0.1:${(listening.address() as AddressInfo).port}`;
    if (behaviour === "not listen") {
        await closeServer();
    }
});

When("the client's transport sends it a request", async () => {
    const transport = new UndiciTransport();
    outcome = await transport.send({
        method: "POST",
        entry,
        path: "/v1/jobs",
        headers: { "idempotency-key": "k1" },
        body: "{}",
        timeoutMilliseconds: 300,
    });
    await transport.close();
});

Then("the transport's outcome is {string}", (kind: string) => {
    assert.equal(outcome.kind, kind, JSON.stringify(outcome));
    if (outcome.kind === "response") {
        assert.equal(outcome.status, 201);
        assert.equal(outcome.headers["lovagepitch-next-submission"], "s1");
        assert.deepEqual(receivedRequests, ["POST /v1/jobs k1"]);
    }
});
