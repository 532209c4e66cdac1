import { After, Given, Then, When } from "@cucumber/cucumber";
import type { PeerBatch } from "@lovagepitch/types/peerMessage";
import { SystemClock } from "@lovagepitch/utils/clock";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import type { AddressInfo, Server } from "node:net";
import type { WebSocket } from "ws";
import type { LinkLimits } from "../linkLimits.js";
import { PeerLinks } from "../peerLinks.js";
import {
    createBatch,
    createCall,
    createFrame,
    createLongMessage,
    createMessages,
    createWrongBatch,
} from "./linkFrames.js";
import { nextFrame, openRawConnection, ScriptedServer, startDisconnectingServer } from "./rawPeer.js";
import { Relay } from "./relay.js";
import { TestPeer, waitUntil } from "./testPeer.js";

const resendMilliseconds = 50;
const slowStep = { timeout: 30_000 };

interface TestSetup {
    readonly a: TestPeer;
    readonly b: TestPeer;
    readonly relay?: Relay;
    /** Address that A uses for B. */
    readonly target: string;
}

let setup: TestSetup;
let scriptedServer: ScriptedServer | undefined;
let scriptedServerPort = 0;
let rawConnection: WebSocket | undefined;
let disconnectingServer: Server | undefined;
let rawReplies: string[] = [];

async function createSetup(limits: Partial<LinkLimits>, hasRelay: boolean): Promise<void> {
    const a = new TestPeer("a", limits);
    const b = new TestPeer("b", limits);
    (await a.links.listen()).unwrap();
    const port = (await b.links.listen()).unwrap();
    const relay = hasRelay ? new Relay(port) : undefined;
    const target = relay === undefined ? b.address : `127.0.0.1:${await relay.listen()}`;
    setup = { a, b, target, ...(relay === undefined ? {} : { relay }) };
    rawReplies = [];
}

After({ tags: "@links" }, async () => {
    rawConnection?.terminate();
    rawConnection = undefined;
    scriptedServer?.close();
    scriptedServer = undefined;
    disconnectingServer?.close();
    disconnectingServer = undefined;
    setup.relay?.close();
    await Promise.all([setup.a.links.close(), setup.b.links.close()]);
});

Given("linked peers A and B", () => createSetup({}, false));

Given("linked peers A and B with a relay between", () => createSetup({}, true));

Given("linked peers A and B that close idle connections, with a relay between", () => {
    return createSetup({ idleTimeoutMilliseconds: 100 }, true);
});

Given("linked peers A and B with frames of at most {int} bytes", (bytes: number) => {
    return createSetup({ maximumFrameBytes: bytes }, false);
});

Given("linked peers A and B with queues of at most {int} messages", (messages: number) => {
    return createSetup({ maximumQueuedMessages: messages }, false);
});

Given("linked peers A and B with at most {int} pending replies", (replies: number) => {
    return createSetup({ maximumPendingReplies: replies }, false);
});

Given("A's ticks are paused", () => {
    setup.a.isTickEnabled = false;
});

Given("B's ticks are paused", () => {
    setup.b.isTickEnabled = false;
});

Given("the relay stops forwarding on all connections", () => {
    setup.relay?.discardAllConnections();
});

Given("a scripted server that answers A with {string}", async (name: string) => {
    const answers: Readonly<Record<string, (id: number) => string | Buffer>> = {
        "no JSON": () => "}",
        "binary": () => Buffer.from([1, 2, 3]),
        "no envelope": () => "[]",
        "300000 wrong messages": id => JSON.stringify({ id, result: { type: "data", data: createWrongBatch() } }),
        "malformed batch": id => JSON.stringify({ id, result: { type: "data", data: { messages: 1 } } }),
    };
    const answer = answers[name];
    assert.ok(answer !== undefined);
    scriptedServer = new ScriptedServer(answer);
    scriptedServerPort = await scriptedServer.listen();
});

Given("B answers pings with a message of {int} bytes", (bytes: number) => {
    setup.b.answer = createLongMessage(0, bytes);
});

When("B answers pings with a pong again", () => {
    setup.b.answer = { type: "pong" };
});

Then("B counts {int} unsendable frame", slowStep, async (count: number) => {
    await waitUntil(() => setup.b.links.counters.framesUnsendable >= count);
    assert.equal(setup.b.links.counters.framesUnsendable, count);
    assert.equal(setup.a.batches.length, 0);
});

Given("a raw server that closes every connection", async () => {
    disconnectingServer = await startDisconnectingServer("");
});

Given("a raw server that answers {string}", async (answer: string) => {
    disconnectingServer = await startDisconnectingServer(answer.replaceAll("\\r\\n", "\r\n"));
});

function getDisconnectingServerAddress(): string {
    return `127.0.0.1:${(disconnectingServer?.address() as AddressInfo).port}`;
}

When("{int} connection of A is closed by the raw server", slowStep, async (count: number) => {
    const target = setup.a.links.counters.connectionsFailed + count;
    setup.a.send(getDisconnectingServerAddress(), [{ type: "ping" }]);
    await waitUntil(() => setup.a.links.counters.connectionsFailed >= target);
});

When("A sends B {int} link messages in one tick", (count: number) => {
    setup.a.send(setup.target, createMessages(count));
});

When("B sends A {int} link messages in one tick", async (count: number) => {
    setup.b.send(setup.a.address, createMessages(count));
    await waitUntil(() => setup.a.batches.length > 0);
    setup.a.batches.length = 0;
});

When("A sends B {int} link messages in one tick and closes its links", async (count: number) => {
    setup.a.send(setup.target, createMessages(count));
    await setup.a.links.close();
});

When("A sends B {int} link messages of {int} bytes in one tick", (count: number, bytes: number) => {
    setup.a.send(setup.target, Array.from({ length: count }, (_item, index) => createLongMessage(index, bytes)));
});

When("A sends B {int} small link messages around one of {int} bytes", (count: number, bytes: number) => {
    assert.equal(count, 2);
    setup.a.send(setup.target, [createLongMessage(0, 10), createLongMessage(1, bytes), createLongMessage(2, 10)]);
});

When("A sends B {int} batches of one link message", slowStep, async (count: number) => {
    for (let batch = 1; batch <= count; batch += 1) {
        setup.a.send(setup.target, createMessages(1));
        await waitUntil(() => setup.b.batches.length + setup.b.links.counters.batchesRefused >= batch);
    }
});

When("A sends B a link ping", () => setup.a.send(setup.target, [{ type: "ping" }]));

When("A sends the scripted server a link ping", () => {
    setup.a.send(`127.0.0.1:${scriptedServerPort}`, [{ type: "ping" }]);
});

When("B's links close", () => setup.b.links.close());

When("the relay stops forwarding on its open connections", () => setup.relay?.discardOpenConnections());

When("A keeps sending link pings until the next pong", slowStep, async () => {
    const before = setup.a.batches.length;
    const resend = setInterval(() => setup.a.send(setup.target, [{ type: "ping" }]), resendMilliseconds);
    await waitUntil(() => setup.a.batches.length > before);
    clearInterval(resend);
});

When("A keeps sending link pings until an address is reported", slowStep, async () => {
    const resend = setInterval(() => setup.a.send(setup.target, [{ type: "ping" }]), resendMilliseconds);
    await waitUntil(() => setup.a.unreachable.length > 0);
    clearInterval(resend);
});

When(/^(\d+) connections? of A (?:is|are) refused at one instant$/, slowStep, async (count: string) => {
    for (let attempt = 0; attempt < Number(count); attempt += 1) {
        const before = setup.a.links.counters.connectionsRefused;
        setup.a.send(setup.target, [{ type: "ping" }]);
        await waitUntil(() => setup.a.links.counters.connectionsRefused > before);
    }
});

When("the links' clock of A moves by {int} ms", (milliseconds: number) => {
    setup.a.clock.advanceTo(setup.a.clock.nowMilliseconds() + milliseconds);
});

When("a raw connection sends B a ping in A's name", slowStep, async () => {
    rawConnection = await openRawConnection(setup.b.address);
    rawConnection.send(createCall(createBatch([{ type: "ping" }], setup.a.address)));
    rawReplies.push(await nextFrame(rawConnection));
});

Then("the raw connection reads an empty acknowledgement", () => {
    assert.deepEqual(rawReplies.map(reply => JSON.parse(reply) as unknown), [{ id: 1, result: { type: "data" } }]);
});

When("a raw connection sends B the same batch twice", slowStep, async () => {
    rawConnection = await openRawConnection(setup.b.address);
    for (let copy = 0; copy < 2; copy += 1) {
        rawConnection.send(createCall(createBatch([{ type: "declineOffer", slots: 1 }])));
        rawReplies.push(await nextFrame(rawConnection));
    }
});

When("a raw connection sends B the frame {string}", async (name: string) => {
    rawConnection = await openRawConnection(setup.b.address);
    rawConnection.send(createFrame(name));
    rawReplies.push(await nextFrame(rawConnection));
});

When("a raw connection sends B a frame of {int} bytes", async (bytes: number) => {
    rawConnection = await openRawConnection(setup.b.address);
    rawConnection.send("x".repeat(bytes));
    rawReplies.push(await nextFrame(rawConnection));
});

When("a raw connection sends B {int} random calls with seed {int}", slowStep, async (count: number, seed: number) => {
    const socket = await openRawConnection(setup.b.address);
    rawConnection = socket;
    const messages = fastCheck.array(
        fastCheck.record({
            type: fastCheck.constantFrom("startTasks", "reportTasks", "forwardResult", "sendManifest", "announceAgent"),
            submission: fastCheck.jsonValue(),
            tasks: fastCheck.jsonValue(),
            reports: fastCheck.jsonValue(),
            load: fastCheck.jsonValue(),
        }),
        { minLength: 1, maxLength: 3 },
    );
    const input = fastCheck.oneof(fastCheck.jsonValue(), messages.map(items => createBatch(items)));
    const frame = fastCheck.oneof(input.map(createCall), fastCheck.json(), fastCheck.string());
    const property = fastCheck.asyncProperty(frame, async text => {
        if (text === "PONG") {
            return;
        }
        socket.send(text);
        rawReplies.push(await nextFrame(socket));
        assert.equal(socket.readyState, socket.OPEN);
    });
    await fastCheck.assert(property, { numRuns: count, seed });
});

Then("B has {int} link messages in {int} batch(es)", slowStep, async (messages: number, batches: number) => {
    await waitUntil(() => setup.b.messages.length >= messages);
    assert.equal(setup.b.messages.length, messages);
    assert.equal(setup.b.batches.length, batches);
});

Then("the batch names A and configuration version {int}", (version: number) => {
    const [batch] = setup.b.batches;
    assert.deepEqual(batch?.sender, { address: setup.a.address, incarnation: "a" });
    assert.equal(batch.configurationVersion, version);
});

Then("A receives a pong", slowStep, async () => {
    await waitUntil(() => setup.a.messages.some(message => message.type === "pong"));
});

Then("B opened {int} link connections and piggybacked {int} message", (connections: number, messages: number) => {
    assert.equal(setup.b.links.counters.connectionsOpened, connections);
    assert.equal(setup.b.links.counters.messagesPiggybacked, messages);
});

Then("A has {int} acknowledged batch and received nothing", slowStep, async (batches: number) => {
    await waitUntil(() => setup.a.links.counters.batchesSent >= batches);
    assert.equal(setup.a.batches.length, 0);
});

Then("A closed {int} silent connection(s)", (count: number) => {
    assert.equal(setup.a.links.counters.connectionsSilent, count);
});

Then("the relay accepted {int} connections", (count: number) => {
    assert.equal(setup.relay?.accepted, count);
});

Then("A reported the relay's address once", () => {
    assert.deepEqual(setup.a.unreachable, [setup.target]);
});

Then("A reported the raw server once", () => {
    assert.deepEqual(setup.a.unreachable, [getDisconnectingServerAddress()]);
});

Then(
    "A reports B with {int} refused and {int} silent connections",
    slowStep,
    async (refused: number, silent: number) => {
        await waitUntil(() => setup.a.unreachable.length > 0);
        assert.deepEqual(setup.a.unreachable, [setup.b.address]);
        assert.equal(setup.a.links.counters.connectionsRefused, refused);
        assert.equal(setup.a.links.counters.connectionsSilent, silent);
    },
);

Then("A reported B {int} time(s)", (count: number) => {
    assert.equal(setup.a.unreachable.length, count);
});

Then("both copies are acknowledged", () => {
    const replies = rawReplies.map(reply => JSON.parse(reply) as { readonly result?: { readonly type: string } });
    assert.deepEqual(replies.map(reply => reply.result?.type), ["data", "data"]);
});

Then("B refuses {int} link batch and has received nothing", slowStep, async (count: number) => {
    await waitUntil(() => setup.b.links.counters.batchesRefused >= count);
    assert.equal(setup.b.links.counters.batchesRefused, count);
    assert.equal(setup.b.batches.length, 0);
});

Then("B refuses {int} link batch and has received {int}", slowStep, async (refused: number, received: number) => {
    await waitUntil(() => setup.b.links.counters.batchesRefused >= refused);
    assert.equal(setup.b.links.counters.batchesRefused, refused);
    assert.equal(setup.b.batches.length, received);
});

Then("A refuses {int} link batch and has received nothing", slowStep, async (count: number) => {
    await waitUntil(() => setup.a.links.counters.batchesRefused >= count);
    assert.equal(setup.a.batches.length, 0);
});

Then("the raw connection reads an error and B has received nothing", () => {
    assert.equal(rawReplies.length, 1);
    assert.ok("error" in (JSON.parse(rawReplies[0] ?? "{}") as object));
    assert.equal(setup.b.batches.length, 0);
});

Then("B has received nothing", () => {
    assert.equal(setup.b.batches.length, 0);
});

Then("the raw connection is closed with code {int}", (code: number) => {
    assert.deepEqual(rawReplies, [`closed ${code}`]);
});

Then("B has the {int} link messages in order and none was dropped", slowStep, async (count: number) => {
    await waitUntil(() => setup.b.messages.length >= count);
    const order = setup.b.messages.map(message =>
        message.type === "sealSubmissions" ? Number(message.submissions[0]) : -1
    );
    assert.deepEqual(order, Array.from({ length: count }, (_item, index) => index));
    assert.equal(setup.a.links.counters.messagesDropped, 0);
});

Then("B has the {int} small link messages and A dropped {int}", slowStep, async (count: number, dropped: number) => {
    await waitUntil(() => setup.b.messages.length >= count);
    assert.equal(setup.b.messages.length, count);
    assert.equal(setup.a.links.counters.messagesDropped, dropped);
});

Then("A dropped {int} link messages", (count: number) => {
    assert.equal(setup.a.links.counters.messagesDropped, count);
});

Then("the relay's connection has ended", slowStep, async () => {
    await waitUntil(() => setup.relay?.ended === 1);
    setup.a.batches.length = 0;
});

Then("A reported nothing and closed {int} silent connections", (count: number) => {
    assert.deepEqual(setup.a.unreachable, []);
    assert.equal(setup.a.links.counters.connectionsSilent, count);
});

Then("other links cannot listen on A's port", async () => {
    const other = new PeerLinks({
        identity: setup.a.links.identity,
        role: "agent",
        address: "127.0.0.1",
        port: Number(setup.a.address.split(":")[1]),
        clock: new SystemClock(),
        onBatch: (batch: PeerBatch) => assert.fail(`unexpected batch of ${batch.messages.length} messages`),
        onPeerUnreachable: () => undefined,
        getConfigurationVersion: () => 0,
    });
    const result = await other.listen();
    assert.ok(result.err);
    assert.equal(result.val.kind, "listen-failed");
    assert.match(result.val.message, /choose a free port/);
});
