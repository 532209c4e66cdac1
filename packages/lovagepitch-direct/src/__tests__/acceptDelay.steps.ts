import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { setImmediate as nextTurn, setTimeout as delay } from "node:timers/promises";
import { AcceptDelay } from "../process/acceptDelay.js";

let lastRead = 0;
let acceptDelay = new AcceptDelay(() => lastRead);
let arrivals: readonly number[] = [];

function accept(): void {
    arrivals = [...arrivals, acceptDelay.recordAccepted()];
}

Given("a process that may have last read at {int}", (instant: number) => {
    lastRead = instant;
    acceptDelay = new AcceptDelay(() => lastRead);
    arrivals = [];
});

When(
    "it accepts connections in {int} consecutive turns, and may have last read at {int} in the later ones",
    async (turns: number, instant: number) => {
        for (let turn = 0; turn < turns; turn += 1) {
            accept();
            lastRead = instant;
            await nextTurn();
        }
    },
);

When("some turns pass", () => delay(20));

When("it accepts a connection", accept);

Then("each of them may have arrived at {int}", (instant: number) => {
    assert.deepEqual([...new Set(arrivals)], [instant]);
});

Then("the last one may have arrived at {int}", (instant: number) => assert.equal(arrivals.at(-1), instant));

Then(
    "of {int} connections that wait while a server does not read, each is accepted in a turn of its own",
    async (count: number) => {
        let turn = 0;
        const turns: number[] = [];
        const server = createServer(() => turns.push(turn));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        // The kernel completes the connections, also while no turn of the event loop accepts them.
        const sockets = Array.from({ length: count }, () => connect(port, "127.0.0.1").on("error", () => undefined));
        for (; turns.length < count; turn += 1) {
            assert.ok(turn < 100_000, `${turns.length} connections were accepted`);
            await nextTurn();
        }
        sockets.forEach(socket => socket.destroy());
        server.close();
        assert.equal(new Set(turns).size, count);
    },
);
