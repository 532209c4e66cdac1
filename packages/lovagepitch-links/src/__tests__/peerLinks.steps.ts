import { After, Given, Then, When } from "@cucumber/cucumber";
import type { PeerBatch } from "@lovagepitch/types/peerMessage";
import { SystemClock } from "@lovagepitch/utils/clock";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import type { AddressInfo, Server } from "node:net";
import type { WebSocket } from "ws";
import type { LinkLimits } from "../linkLimits.js";
import { PeerLinks } from "../peerLinks.js";
import { createBatch, createCall, createFrame, createLongMessage, createMessages } from "./linkFrames.js";
import { nextFrame, openRawConnection, ScriptedServer, startCuttingServer } from "./rawPeer.js";
import { Relay } from "./relay.js";
import { TestPeer, until } from "./testPeer.js";

const resendMilliseconds = 50;
const patient = { timeout: 30_000 };

interface Scene {
    readonly a: TestPeer;
    readonly b: TestPeer;
    readonly relay?: Relay;
    /** Address that A uses for B. */
    readonly target: string;
}

let scene: Scene;
let scripted: ScriptedServer | undefined;
let scriptedPort = 0;
let raw: WebSocket | undefined;
let cuttingServer: Server | undefined;
let rawReplies: string[] = [];

async function createScene(limits: Partial<LinkLimits>, hasRelay: boolean): Promise<void> {
    const a = new TestPeer("a", limits);
    const b = new TestPeer("b", limits);
    (await a.links.listen()).unwrap();
    const port = (await b.links.listen()).unwrap();
    const relay = hasRelay ? new Relay(port) : undefined;
    const target = relay === undefined ? b.address : `127.0.0.1:${await relay.listen()}`;
    scene = { a, b, target, ...(relay === undefined ? {} : { relay }) };
    rawReplies = [];
}

After({ tags: "@links" }, async () => {
    raw?.terminate();
    raw = undefined;
    scripted?.close();
    scripted = undefined;
    cuttingServer?.close();
    cuttingServer = undefined;
    scene.relay?.close();
    await Promise.all([scene.a.links.close(), scene.b.links.close()]);
});

Given("linked peers A and B", () => createScene({}, false));

Given("linked peers A and B with a relay between", () => createScene({}, true));

Given("linked peers A and B that close idle connections, with a relay between", () => {
    return createScene({ idleMilliseconds: 100 }, true);
});

Given("linked peers A and B with frames of at most {int} bytes", (bytes: number) => {
    return createScene({ maximumFrameBytes: bytes }, false);
});

Given("linked peers A and B with queues of at most {int} messages", (messages: number) => {
    return createScene({ maximumQueuedMessages: messages }, false);
});

Given("linked peers A and B with at most {int} pending replies", (replies: number) => {
    return createScene({ maximumPendingReplies: replies }, false);
});

Given("A's links answer nothing yet", () => {
    scene.a.ticks = false;
});

Given("B's links answer nothing yet", () => {
    scene.b.ticks = false;
});

Given("the relay goes silent for good", () => {
    scene.relay?.goSilent();
});

Given("a scripted server that answers A with {string}", async (name: string) => {
    const answers: Readonly<Record<string, (id: number) => string | Buffer>> = {
        "no JSON": () => "}",
        "binary": () => Buffer.from([1, 2, 3]),
        "no envelope": () => "[]",
        "malformed batch": id => JSON.stringify({ id, result: { type: "data", data: { messages: 1 } } }),
    };
    const answer = answers[name];
    assert.ok(answer !== undefined);
    scripted = new ScriptedServer(answer);
    scriptedPort = await scripted.listen();
});

Given("B answers pings with a message of {int} bytes", (bytes: number) => {
    scene.b.answer = createLongMessage(0, bytes);
});

When("B answers pings again", () => {
    scene.b.answer = { type: "pong" };
});

Then("B counts {int} unsendable frame", patient, async (count: number) => {
    await until(() => scene.b.links.counters.framesUnsendable >= count);
    assert.equal(scene.b.links.counters.framesUnsendable, count);
    assert.equal(scene.a.batches.length, 0);
});

Given("a raw server that cuts every connection", async () => {
    cuttingServer = await startCuttingServer("");
});

Given("a raw server that answers {string}", async (answer: string) => {
    cuttingServer = await startCuttingServer(answer.replaceAll("\\r\\n", "\r\n"));
});

function getCuttingAddress(): string {
    return `127.0.0.1:${(cuttingServer?.address() as AddressInfo).port}`;
}

When("A meets {int} cut connection", patient, async (count: number) => {
    const target = scene.a.links.counters.connectionsFailed + count;
    scene.a.send(getCuttingAddress(), [{ type: "ping" }]);
    await until(() => scene.a.links.counters.connectionsFailed >= target);
});

When("A sends B {int} link messages in one tick", (count: number) => {
    scene.a.send(scene.target, createMessages(count));
});

When("B sends A {int} link messages in one tick", async (count: number) => {
    scene.b.send(scene.a.address, createMessages(count));
    await until(() => scene.a.batches.length > 0);
    scene.a.batches.length = 0;
});

When("A sends B {int} link messages in one tick and closes its links", async (count: number) => {
    scene.a.send(scene.target, createMessages(count));
    await scene.a.links.close();
});

When("A sends B {int} link messages of {int} bytes in one tick", (count: number, bytes: number) => {
    scene.a.send(scene.target, Array.from({ length: count }, (_item, index) => createLongMessage(index, bytes)));
});

When("A sends B {int} small link messages around one of {int} bytes", (count: number, bytes: number) => {
    assert.equal(count, 2);
    scene.a.send(scene.target, [createLongMessage(0, 10), createLongMessage(1, bytes), createLongMessage(2, 10)]);
});

When("A sends B {int} batches of one link message", patient, async (count: number) => {
    for (let batch = 1; batch <= count; batch += 1) {
        scene.a.send(scene.target, createMessages(1));
        await until(() => scene.b.batches.length + scene.b.links.counters.batchesRefused >= batch);
    }
});

When("A sends B a link ping", () => scene.a.send(scene.target, [{ type: "ping" }]));

When("A sends the scripted server a link ping", () => {
    scene.a.send(`127.0.0.1:${scriptedPort}`, [{ type: "ping" }]);
});

When("B's links close", () => scene.b.links.close());

When("the relay loses track of its open connections", () => scene.relay?.loseTrack());

When("A keeps sending link pings until the next pong", patient, async () => {
    const before = scene.a.batches.length;
    const resend = setInterval(() => scene.a.send(scene.target, [{ type: "ping" }]), resendMilliseconds);
    await until(() => scene.a.batches.length > before);
    clearInterval(resend);
});

When("A keeps sending link pings until an address is reported", patient, async () => {
    const resend = setInterval(() => scene.a.send(scene.target, [{ type: "ping" }]), resendMilliseconds);
    await until(() => scene.a.unreachable.length > 0);
    clearInterval(resend);
});

When(/^A meets (\d+) refused connections? at one instant$/, patient, async (count: string) => {
    for (let attempt = 0; attempt < Number(count); attempt += 1) {
        const before = scene.a.links.counters.connectionsRefused;
        scene.a.send(scene.target, [{ type: "ping" }]);
        await until(() => scene.a.links.counters.connectionsRefused > before);
    }
});

When("the links' clock of A moves by {int} ms", (milliseconds: number) => {
    scene.a.clock.advanceTo(scene.a.clock.nowMilliseconds() + milliseconds);
});

When("a raw connection sends B a ping in A's name", patient, async () => {
    raw = await openRawConnection(scene.b.address);
    raw.send(createCall(createBatch([{ type: "ping" }], scene.a.address)));
    rawReplies.push(await nextFrame(raw));
});

Then("the raw connection reads an empty acknowledgement", () => {
    assert.deepEqual(rawReplies.map(reply => JSON.parse(reply) as unknown), [{ id: 1, result: { type: "data" } }]);
});

When("a raw connection sends B the same batch twice", patient, async () => {
    raw = await openRawConnection(scene.b.address);
    for (let copy = 0; copy < 2; copy += 1) {
        raw.send(createCall(createBatch([{ type: "declineOffer", slots: 1 }])));
        rawReplies.push(await nextFrame(raw));
    }
});

When("a raw connection sends B the frame {string}", async (name: string) => {
    raw = await openRawConnection(scene.b.address);
    raw.send(createFrame(name));
    rawReplies.push(await nextFrame(raw));
});

When("a raw connection sends B a frame of {int} bytes", async (bytes: number) => {
    raw = await openRawConnection(scene.b.address);
    raw.send("x".repeat(bytes));
    rawReplies.push(await nextFrame(raw));
});

When("a raw connection sends B {int} random calls with seed {int}", patient, async (count: number, seed: number) => {
    const socket = await openRawConnection(scene.b.address);
    raw = socket;
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

Then("B has {int} link messages in {int} batch(es)", patient, async (messages: number, batches: number) => {
    await until(() => scene.b.messages.length >= messages);
    assert.equal(scene.b.messages.length, messages);
    assert.equal(scene.b.batches.length, batches);
});

Then("the batch names A and configuration version {int}", (version: number) => {
    const [batch] = scene.b.batches;
    assert.deepEqual(batch?.sender, { address: scene.a.address, incarnation: "a" });
    assert.equal(batch.configurationVersion, version);
});

Then("A receives a pong", patient, async () => {
    await until(() => scene.a.messages.some(message => message.type === "pong"));
});

Then("B opened {int} link connections and piggybacked {int} message", (connections: number, messages: number) => {
    assert.equal(scene.b.links.counters.connectionsOpened, connections);
    assert.equal(scene.b.links.counters.messagesPiggybacked, messages);
});

Then("A has {int} acknowledged batch and received nothing", patient, async (batches: number) => {
    await until(() => scene.a.links.counters.batchesSent >= batches);
    assert.equal(scene.a.batches.length, 0);
});

Then("A closed {int} silent connection(s)", (count: number) => {
    assert.equal(scene.a.links.counters.connectionsSilent, count);
});

Then("the relay accepted {int} connections", (count: number) => {
    assert.equal(scene.relay?.accepted, count);
});

Then("A reported the relay's address once", () => {
    assert.deepEqual(scene.a.unreachable, [scene.target]);
});

Then("A reported the raw server once", () => {
    assert.deepEqual(scene.a.unreachable, [getCuttingAddress()]);
});

Then(
    "A reports B with {int} refused and {int} silent connections",
    patient,
    async (refused: number, silent: number) => {
        await until(() => scene.a.unreachable.length > 0);
        assert.deepEqual(scene.a.unreachable, [scene.b.address]);
        assert.equal(scene.a.links.counters.connectionsRefused, refused);
        assert.equal(scene.a.links.counters.connectionsSilent, silent);
    },
);

Then("A reported B {int} time(s)", (count: number) => {
    assert.equal(scene.a.unreachable.length, count);
});

Then("both copies are acknowledged", () => {
    const replies = rawReplies.map(reply => JSON.parse(reply) as { readonly result?: { readonly type: string } });
    assert.deepEqual(replies.map(reply => reply.result?.type), ["data", "data"]);
});

Then("B refuses {int} link batch and has received nothing", patient, async (count: number) => {
    await until(() => scene.b.links.counters.batchesRefused >= count);
    assert.equal(scene.b.links.counters.batchesRefused, count);
    assert.equal(scene.b.batches.length, 0);
});

Then("B refuses {int} link batch and has received {int}", patient, async (refused: number, received: number) => {
    await until(() => scene.b.links.counters.batchesRefused >= refused);
    assert.equal(scene.b.links.counters.batchesRefused, refused);
    assert.equal(scene.b.batches.length, received);
});

Then("A refuses {int} link batch and has received nothing", patient, async (count: number) => {
    await until(() => scene.a.links.counters.batchesRefused >= count);
    assert.equal(scene.a.batches.length, 0);
});

Then("the raw connection reads an error and B has received nothing", () => {
    assert.equal(rawReplies.length, 1);
    assert.ok("error" in (JSON.parse(rawReplies[0] ?? "{}") as object));
    assert.equal(scene.b.batches.length, 0);
});

Then("B has received nothing", () => {
    assert.equal(scene.b.batches.length, 0);
});

Then("the raw connection is closed with code {int}", (code: number) => {
    assert.deepEqual(rawReplies, [`closed ${code}`]);
});

Then("B has the {int} link messages in order and none was dropped", patient, async (count: number) => {
    await until(() => scene.b.messages.length >= count);
    const order = scene.b.messages.map(message =>
        message.type === "sealSubmissions" ? Number(message.submissions[0]) : -1
    );
    assert.deepEqual(order, Array.from({ length: count }, (_item, index) => index));
    assert.equal(scene.a.links.counters.messagesDropped, 0);
});

Then("B has the {int} small link messages and A dropped {int}", patient, async (count: number, dropped: number) => {
    await until(() => scene.b.messages.length >= count);
    assert.equal(scene.b.messages.length, count);
    assert.equal(scene.a.links.counters.messagesDropped, dropped);
});

Then("A dropped {int} link messages", (count: number) => {
    assert.equal(scene.a.links.counters.messagesDropped, count);
});

Then("the relay sees its connection end", patient, async () => {
    await until(() => scene.relay?.ended === 1);
    scene.a.batches.length = 0;
});

Then("A reported nothing and closed {int} silent connections", (count: number) => {
    assert.deepEqual(scene.a.unreachable, []);
    assert.equal(scene.a.links.counters.connectionsSilent, count);
});

Then("other links cannot listen on A's port", async () => {
    const other = new PeerLinks({
        identity: scene.a.links.identity,
        role: "agent",
        address: "127.0.0.1",
        port: Number(scene.a.address.split(":")[1]),
        clock: new SystemClock(),
        onBatch: (batch: PeerBatch) => assert.fail(`nothing may arrive: ${batch.messages.length}`),
        onPeerUnreachable: () => undefined,
        getConfigurationVersion: () => 0,
    });
    const result = await other.listen();
    assert.ok(result.err);
    assert.equal(result.val.kind, "listen-failed");
    assert.match(result.val.message, /choose a free port/);
});
