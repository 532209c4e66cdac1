import { After, Given, Then, When } from "@cucumber/cucumber";
import { MonotonicClock } from "@lovagepitch/utils/monotonicClock";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer, type Server } from "node:net";
import { defaultResources, findConnectionLimits } from "../connections/connectionLimits.js";
import { AgentFrameFormat } from "../links/agentFrameFormat.js";
import { AgentListener } from "../links/agentListener.js";
import { EntryFrameFormat } from "../links/entryFrameFormat.js";
import { ForwardingConnections } from "../links/forwardingConnections.js";
import { isAgentFrame, isEntryFrame } from "../links/frameGuards.js";
import { FrameStream } from "../links/frameStream.js";
import { FrameTotals } from "../links/frameTotals.js";
import { listenAt } from "../links/listenAt.js";
import type { ForwardingFrame, ForwardingReply } from "../model/forwarding.js";
import type { AgentFrame, EntryFrame } from "../model/frames.js";
import { createJob } from "./connectedEntry.js";
import { createAgentFrame, createEntryFrame } from "./frameExamples.js";

const host = "127.0.0.1";
const sender = { address: "10.1.0.2:7720", incarnation: "entry-2" };
const receiver = { address: "10.1.0.1:7720", incarnation: "entry-1" };

let port = 0;
let server: Server | undefined;
let listener: AgentListener | undefined;
let connections: ForwardingConnections | undefined;
let receivedFrames: ForwardingFrame[] = [];
let receivedReplies: ForwardingReply[] = [];
let receivedAgentFrames: AgentFrame[] = [];
let receivedEntryFrames: EntryFrame[] = [];
let ends = 0;

function createFrame(number: number): ForwardingFrame {
    return {
        kind: "forwarding",
        from: sender,
        newestSentAt: number === 0 ? undefined : 1000.5,
        heldMilliseconds: 2.5,
        configurationVersion: 3,
        submissions: number === 0
            ? []
            : [
                { number, ageMilliseconds: 1.5, job: createJob("a1", { specification: "\ud800 \ufeff__proto__" }) },
                { number: number + 10, ageMilliseconds: 0, job: createJob("a2", { requiredLabel: "kind-a" }) },
            ],
        withdrawals: [{ number, job: "a3", isInterrupted: true }],
        cancellations: [{ job: "a4", route: "route-a" }],
    };
}

function createReply(number: number): ForwardingReply {
    return {
        kind: "forwarding-reply",
        from: receiver,
        sentAt: 2000.5,
        load: 0.25,
        acceptsSubmissions: true,
        configurationVersion: 3,
        answers: [
            { number, job: "a1", answer: { kind: "done" } },
            { number, job: "a2", answer: { kind: "refused", reason: "no-room-in-time", retryAfterSeconds: 2 } },
            { number, job: "a3", answer: { kind: "interrupted", reason: "it stops" } },
            { number, job: "a4", answer: undefined },
        ],
    };
}

function connectOther(): ForwardingConnections {
    connections = new ForwardingConnections({
        onReply: (_address, reply) => receivedReplies.push(reply),
        onDisconnected: () => {
            ends += 1;
        },
    }, new FrameTotals());
    connections.open(`${host}:${port}`);
    return connections;
}

async function waitUntil(isMet: () => boolean): Promise<void> {
    for (let attempt = 0; attempt < 500 && !isMet(); attempt += 1) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    assert.ok(isMet(), "it did not happen within 5 s");
}

After(() => {
    connections?.close();
    listener?.close();
    server?.close();
    connections = undefined;
    listener = undefined;
    server = undefined;
    receivedFrames = [];
    receivedReplies = [];
    receivedAgentFrames = [];
    receivedEntryFrames = [];
    ends = 0;
});

Given("an entry that listens for agents and entries", async () => {
    listener = new AgentListener(
        {
            onFrame: (connection, frame) => {
                receivedAgentFrames.push(frame);
                listener?.send(connection, createEntryFrame());
            },
            onForwardingFrame: (connection, frame) => {
                receivedFrames.push(frame);
                listener?.send(connection, createReply(receivedFrames.length));
            },
            onDisconnected: () => undefined,
            onClosed: () => undefined,
        },
        new MonotonicClock(),
        findConnectionLimits(defaultResources, "peers"),
    );
    port = await listener.listen(host, 0);
});

Given("a listener of an earlier build", async () => {
    server = createServer(socket => {
        const protocol = { incoming: new AgentFrameFormat(), outgoing: new EntryFrameFormat(), isFrame: isAgentFrame };
        new FrameStream(socket, protocol, { onFrame: () => undefined, onEnd: () => undefined });
    });
    port = await listenAt(server, { host, port: 0 });
});

async function exchangeFrames(count: number): Promise<void> {
    const other = connectOther();
    for (let number = 0; number < count; number += 1) {
        other.send(`${host}:${port}`, createFrame(number));
        await waitUntil(() => receivedReplies.length === number + 1);
    }
}

When("another entry connects and exchanges {int} frames with it", exchangeFrames);

When("an agent and another entry connect and exchange {int} frames with it", async (count: number) => {
    const socket = connect({ host, port });
    await once(socket, "connect");
    const protocol = { incoming: new EntryFrameFormat(), outgoing: new AgentFrameFormat(), isFrame: isEntryFrame };
    const stream: FrameStream<EntryFrame, AgentFrame> = new FrameStream(socket, protocol, {
        onFrame: frame => receivedEntryFrames.push(frame),
        onEnd: () => undefined,
    });
    for (let number = 1; number <= count; number += 1) {
        stream.send(createAgentFrame());
        await waitUntil(() => receivedEntryFrames.length === number);
    }
    await exchangeFrames(count);
    stream.close("the test ends");
});

When("another entry connects and sends a frame", () => {
    connectOther().send(`${host}:${port}`, createFrame(0));
});

When("another entry connects to an address at which nobody listens", async () => {
    const unused = createServer();
    port = await listenAt(unused, { host, port: 0 });
    unused.close();
    await once(unused, "close");
    connectOther().send(`${host}:${port}`, createFrame(0));
});

Then("each frame and each reply arrived as it was sent", () => {
    // The first frame of each direction also offers formats.
    const withoutOffer = (frame: object): unknown => {
        return JSON.parse(JSON.stringify({ ...frame, frameFormats: undefined }));
    };
    assert.deepEqual(receivedFrames.map(withoutOffer), [0, 1, 2].map(number => withoutOffer(createFrame(number))));
    assert.deepEqual(receivedReplies.map(withoutOffer), [1, 2, 3].map(number => withoutOffer(createReply(number))));
});

Then("each of them got frames of its own kind", () => {
    assert.equal(receivedAgentFrames.length, 3);
    assert.equal(receivedEntryFrames.length, 3);
    assert.equal(receivedFrames.length, 3);
    assert.equal(receivedReplies.length, 3);
});

Then("it learns that the connection has ended", () => waitUntil(() => ends === 1));
