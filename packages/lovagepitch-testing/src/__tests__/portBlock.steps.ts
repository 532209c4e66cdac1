import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { PortBlock } from "../launcher/portBlock.js";

const timeout = { timeout: 60_000 };
const loopback = "127.0.0.1";

let holderCount = 0;
let roundCount = 0;
let duplicatePorts: number[] = [];
let bindErrors: string[] = [];
let blocks: PortBlock[] = [];
let servers: Server[] = [];

async function listen(port: number): Promise<Server> {
    const server = createServer();
    server.listen(port, loopback);
    await once(server, "listening");
    return server;
}

async function close(server: Server): Promise<void> {
    server.close();
    await once(server, "close");
}

async function holdBlock(portCount: number, heldPorts: Set<number>): Promise<void> {
    const block = await PortBlock.reserve();
    const ports = Array.from({ length: portCount }, () => block.takePort());
    duplicatePorts.push(...ports.filter(port => heldPorts.has(port)));
    ports.forEach(port => heldPorts.add(port));
    const bound: Server[] = [];
    for (const port of ports) {
        bound.push(await listen(0));
        await sleep(1);
        try {
            bound.push(await listen(port));
        }
        catch (error) {
            bindErrors.push(String(error));
        }
    }
    await Promise.all(bound.map(close));
    ports.forEach(port => heldPorts.delete(port));
    await block.release();
}

Given(
    "{int} holders of port blocks that each start and end {int} times",
    (holders: number, rounds: number) => {
        holderCount = holders;
        roundCount = rounds;
        duplicatePorts = [];
        bindErrors = [];
    },
);

When(
    "each holder binds {int} ports of its block, with other listeners on ports that the system assigns",
    timeout,
    async (portCount: number) => {
        const heldPorts = new Set<number>();
        await Promise.all(Array.from({ length: holderCount }, async () => {
            for (let round = 0; round < roundCount; round += 1) {
                await holdBlock(portCount, heldPorts);
            }
        }));
    },
);

Then("every port was bound without an error", () => {
    assert.deepEqual(bindErrors, []);
});

Then("no two holders had the same port at the same time", () => {
    assert.deepEqual(duplicatePorts, []);
});

Given("a listener within the block that starts at {int}", async (start: number) => {
    servers.push(await listen(start + 5));
});

When("a block is reserved among those that start at {int} and {int}", async (first: number, second: number) => {
    blocks.push(await PortBlock.reserve([first, second]));
});

Then("the reserved ports start at {int}", (port: number) => {
    assert.equal(blocks[0]?.takePort(), port);
});

Given("a reserved block of ports", async () => {
    blocks.push(await PortBlock.reserve());
});

When("{int} ports are taken from the block", (count: number) => {
    for (let taken = 0; taken < count; taken += 1) {
        blocks[0]?.takePort();
    }
});

Then("the next port is refused with {string}", (message: string) => {
    assert.throws(() => blocks[0]?.takePort(), new RegExp(message));
});

After(async () => {
    await Promise.all([...servers.map(close), ...blocks.map(block => block.release())]);
    servers = [];
    blocks = [];
});
