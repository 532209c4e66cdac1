import { Given, Then, When } from "@cucumber/cucumber";
import * as fastCheck from "fast-check";
import assert from "node:assert/strict";
import { type BudgetedConnection, type ClosingReason, ConnectionBudget } from "../connections/connectionBudget.js";

class FakeConnection implements BudgetedConnection {
    public isWorking = false;
    public finishedRequests = 0;
    public isClosed = false;

    public constructor(public heldBytes: number, public readonly waitingSince: number) {}

    public readonly close = (): void => {
        this.isClosed = true;
    };
}

let budget: ConnectionBudget<FakeConnection> | undefined;
let connections: FakeConnection[] = [];
let closed: (readonly [reason: ClosingReason, connection: FakeConnection])[] = [];

function createBudget(maximumConnections: number, maximumHeldBytes: number): ConnectionBudget<FakeConnection> {
    closed = [];
    connections = [];
    const created = new ConnectionBudget<FakeConnection>({ maximumConnections, maximumHeldBytes }, (...end) => {
        closed.push(end);
    });
    budget = created;
    return created;
}

function getBudget(): ConnectionBudget<FakeConnection> {
    assert.ok(budget);
    return budget;
}

function add(heldBytes: number, isWorking = false, finishedRequests = 0): FakeConnection {
    const connection = new FakeConnection(heldBytes, connections.length);
    connection.isWorking = isWorking;
    connection.finishedRequests = finishedRequests;
    connections.push(connection);
    getBudget().add(connection);
    return connection;
}

function grow(connection: FakeConnection, bytes: number): void {
    connection.heldBytes += bytes;
    getBudget().change(connection, bytes);
}

Given("a budget of {int} connections and {int} bytes", createBudget);

When(/^connections hold ([\d, and]+) bytes, and one of them takes (\d+) more$/, (list: string, bytes: string) => {
    const added = list.split(/\D+/).map(held => add(Number(held)));
    const [first] = added;
    assert.ok(first);
    grow(first, Number(bytes));
});

When(
    "a working connection holds {int} bytes, and waiting ones hold {int}, {int} and {int} bytes",
    (working: number, first: number, second: number, third: number) => {
        add(working, true);
        [first, second, third].forEach(held => add(held));
    },
);

When("a working connection holds {int} bytes", (held: number) => {
    add(held, true);
});

When(
    "connections have finished {int}, {int} and {int} requests, and another one is accepted",
    (first: number, second: number, third: number) => {
        [first, second, third].forEach(count => add(1, false, count));
        add(1);
    },
);

When("{int} connections are working, and another one is accepted", (count: number) => {
    Array.from({ length: count }, () => add(1, true));
    add(1);
});

Then(/^the connections that held (\d+) bytes are closed for "(.*)"$/, (held: string, reason: string) => {
    assert.deepEqual(closed.map(([why, { heldBytes }]) => [why, heldBytes]), [[reason, Number(held)]]);
    assert.ok(closed.every(([, { isClosed }]) => isClosed));
});

Then("connection {int} is closed for {string}", (number: number, reason: string) => {
    assert.deepEqual(closed, [[reason, connections[number - 1]]]);
    assert.ok(connections[number - 1]?.isClosed);
});

Then(
    /^there is (no room|room) for a (request on another connection|further request of that connection)$/,
    (room: string, kind: string) => {
        assert.equal(getBudget().hasRoomForRequest(kind.startsWith("further")), room === "room");
        assert.deepEqual(closed, []);
    },
);

Then(
    "the sum is that of the open connections after {int} random changes with seed {int}",
    (count: number, seed: number) => {
        const change = fastCheck.tuple(
            fastCheck.constantFrom("add", "grow", "shrink", "remove", "work"),
            fastCheck.nat(9),
            fastCheck.nat(200),
        );
        createBudget(8, 1000);
        for (const [kind, position, bytes] of fastCheck.sample(change, { numRuns: count, seed })) {
            const connection = connections[connections.length - 1 - position];
            if (kind === "add" || connection === undefined) {
                add(bytes);
            }
            else if (kind === "remove") {
                getBudget().remove(connection);
                connection.isClosed = true;
            }
            else if (kind === "work") {
                connection.isWorking = !connection.isWorking;
            }
            else if (!connection.isClosed) {
                grow(connection, kind === "grow" ? bytes : -Math.min(bytes, connection.heldBytes));
            }
            const open = connections.filter(({ isClosed }) => !isClosed);
            assert.equal(getBudget().heldBytes, open.reduce((sum, { heldBytes }) => sum + heldBytes, 0));
            assert.equal(getBudget().openConnections, open.length);
            assert.ok(getBudget().heldBytes <= 1000 && open.length <= 8);
        }
    },
);
