import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setImmediate as nextTurn } from "node:timers/promises";
import { ReadingTurns, type WaitingConnection } from "../connections/readingTurns.js";

/** Time that a costly request has taken, in milliseconds. */
const costlyMilliseconds = 1000;

/** Time that a request has taken that has begun and is not costly, in milliseconds. */
const begunMilliseconds = 1;

let turns = new ReadingTurns();
let currentTurn = 0;
/** Turns of the event loop in which each connection had its turn, in the order in which they were added. */
let served: (number | undefined)[] = [];
let costlyCount = 0;

function addConnections(count: number, spentMilliseconds: number, turnMilliseconds: number): void {
    for (let index = 0; index < count; index += 1) {
        const position = served.push(undefined) - 1;
        const connection: WaitingConnection = {
            spentMilliseconds,
            takeTurn: () => {
                served[position] = currentTurn;
                turns.recordSpent(turnMilliseconds);
            },
        };
        turns.enqueue(connection);
    }
}

async function pass(count: number): Promise<void> {
    for (let turn = 0; turn < count; turn += 1) {
        currentTurn += 1;
        await nextTurn();
    }
}

function begin(): void {
    turns = new ReadingTurns();
    currentTurn = 0;
    served = [];
}

Given(
    "{int} connections that wait, each of whose turns takes {int} ms",
    (count: number, milliseconds: number) => {
        if (costlyCount === 0) {
            begin();
        }
        addConnections(count, begunMilliseconds, milliseconds);
    },
);

Given(
    "a connection is accepted, and {int} connections wait, each of whose turns takes {int} ms",
    (count: number, milliseconds: number) => {
        begin();
        turns.recordAccepted();
        addConnections(count, begunMilliseconds, milliseconds);
    },
);

Given(
    "{int} connections with new requests that wait, each of whose turns takes {int} ms",
    (count: number, milliseconds: number) => {
        begin();
        addConnections(count, 0, milliseconds);
    },
);

Given(
    "{int} connections with costly requests that wait, each of whose turns takes {int} ms",
    (count: number, milliseconds: number) => {
        begin();
        costlyCount = count;
        addConnections(count, costlyMilliseconds, milliseconds);
    },
);

When("a connection with a new request waits, too", () => addConnections(1, 0, 1));

Then(
    "connections {int} to {int} have their turn in turn {int} of the event loop",
    async (first: number, last: number, turn: number) => {
        await pass(turn - currentTurn);
        assert.deepEqual(new Set(served.slice(first - 1, last)), new Set([turn]));
    },
);

Then("that connection has its turn in the next turn of the event loop", async () => {
    await pass(1);
    assert.equal(served.at(-1), 1);
    costlyCount = 0;
});

Then(
    "each of the connections with costly requests has had its turn after {int} turns of the event loop",
    async (count: number) => {
        await pass(count);
        assert.deepEqual(served.slice(0, costlyCount), [1, 2, 3]);
        costlyCount = 0;
    },
);

Given("a turn of the event loop in which {int} ms were spent", (milliseconds: number) => {
    begin();
    turns.recordSpent(milliseconds);
});

function mustWait(spentMilliseconds: number): boolean {
    return turns.isUsedUp({ spentMilliseconds, takeTurn: () => undefined });
}

Then("received bytes of a request that has begun have to wait", () => assert.equal(mustWait(begunMilliseconds), true));

Then("those of a new request have not, and none have in the next turn of the event loop", async () => {
    assert.equal(mustWait(0), false);
    await pass(1);
    assert.equal(mustWait(begunMilliseconds), false);
});
