import { Given, Then, When } from "@cucumber/cucumber";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { AgentFrameFormat } from "../links/agentFrameFormat.js";
import { EntryFrameFormat } from "../links/entryFrameFormat.js";
import { createBinaryFrame } from "../links/frameBuffer.js";
import { type FrameFormat, frameFormatVersion } from "../links/frameFormat.js";
import { isAgentFrame, isEntryFrame } from "../links/frameGuards.js";
import { packFrame } from "../links/framePacker.js";
import { FrameStream, type StreamEnd } from "../links/frameStream.js";
import type { AgentFrame, EntryFrame, StartOrder } from "../model/frames.js";
import type { DirectMetrics } from "../process/directMetrics.js";
import type { RateLimitedLog } from "../process/rateLimitedLog.js";
import { UnreadableFrames } from "../process/unreadableFrames.js";
import { AgentDriver, createOrder, entryAddress } from "./agentDriver.js";
import {
    assertTransferred,
    createAgentFrame,
    createEntryFrame,
    exampleCapacity,
    isPreserved,
} from "./frameExamples.js";

/** End of a connection in memory, which records what was written to it. */
class MemorySocket extends Duplex {
    public peer: MemorySocket | undefined;
    public binaryFrames = 0;

    public setNoDelay(): this {
        return this;
    }

    public override _read(): void {
        // Data is pushed when the peer writes it.
    }

    public override _write(chunk: Buffer, _encoding: BufferEncoding, callback: () => void): void {
        this.binaryFrames += chunk[0] === frameFormatVersion ? 1 : 0;
        this.peer?.push(chunk);
        callback();
    }
}

/** A field that this version does not know, in any of the objects that a frame consists of. */
const otherField = fastCheck.record({
    // Assigning a field of this name would set the prototype of an object.
    ["__proto__"]: fastCheck.boolean(),
    later: fastCheck.oneof(
        fastCheck.boolean(),
        fastCheck.constant([]),
        fastCheck.double({ noNaN: true }).filter(isPreserved),
    ),
}, { requiredKeys: [], noNullPrototype: true });

const identity = { task: fastCheck.nat(900), run: fastCheck.integer({ min: 1, max: 9 }) };
/** Objects with the usual prototype, which is also that of received objects. */
const plain = { noNullPrototype: true };

const text = fastCheck.string({ unit: "binary", maxLength: 80 });

/** Peers of earlier versions name no submission. */
const runIdentity = fastCheck.record(
    { job: text, ...identity, submission: fastCheck.nat() },
    { ...plain, requiredKeys: ["job", "task", "run"] },
);

const start = fastCheck.tuple(
    fastCheck.record({
        job: fastCheck.constantFrom("a1", "a2"),
        ...identity,
        submission: fastCheck.constantFrom(1, 2),
        specification: fastCheck.oneof(text, fastCheck.constant("\ud800 alone"), fastCheck.constant("x".repeat(700))),
        mayWaitMilliseconds: fastCheck.double({ min: 0, max: 30, noNaN: true }),
        maximumPerWorker: fastCheck.constantFrom(1, 2, Number.MAX_SAFE_INTEGER),
        requiredLabel: fastCheck.constantFrom(undefined, "", "a"),
        route: fastCheck.constantFrom("", "route-a"),
        isolation: fastCheck.constantFrom("job" as const, "shared" as const),
    }, plain),
    otherField,
).map(([fields, other]): StartOrder => ({ ...createOrder("a0"), ...fields, ...other }));

const crash = fastCheck.record({
    id: text,
    instance: fastCheck.constantFrom("side-1", "side-2"),
    service: text,
    ageMilliseconds: fastCheck.nat(),
    runs: fastCheck.array(
        fastCheck.record({ job: text, task: fastCheck.nat(900), route: text, ageMilliseconds: fastCheck.nat() }, plain),
        { maxLength: 3 },
    ),
    certainty: fastCheck.constantFrom("suspected" as const, "refuted" as const),
}, { ...plain, requiredKeys: ["id", "instance", "service", "ageMilliseconds", "runs"] });

const entryFrame = fastCheck.tuple(
    fastCheck.record({
        entry: fastCheck.constantFrom("entry-1", "entry-2"),
        starts: fastCheck.array(start, { maxLength: 6 }),
        stops: fastCheck.array(runIdentity),
        entryAddresses: fastCheck.constantFrom<readonly string[]>([], ["10.1.0.2:7720"]),
        awaitsCapacity: fastCheck.boolean(),
        crashes: fastCheck.array(crash, { maxLength: 2 }),
        configuration: fastCheck.record({
            version: fastCheck.nat(),
            configuration: fastCheck.constant(undefined),
            isRequested: fastCheck.boolean(),
        }, plain),
    }, plain),
    otherField,
).map(([fields, other]) => ({ ...createEntryFrame(fields), ...other }));

/** Peers of earlier versions name no report, and workers need not say when they started. */
const latestReport = fastCheck.record({
    latestReport: fastCheck.record(
        { worker: fastCheck.constantFrom("", "life-1"), workerClock: fastCheck.nat(3), startedAt: fastCheck.nat(1) },
        { ...plain, requiredKeys: ["worker", "workerClock"] },
    ),
}, { ...plain, requiredKeys: [] });

const agentFrame = fastCheck.tuple(
    fastCheck.record({
        instance: fastCheck.constantFrom("side-1", "side-2"),
        worker: fastCheck.oneof(
            fastCheck.constant(undefined),
            fastCheck.tuple(fastCheck.array(text, { maxLength: 2 }), fastCheck.boolean(), otherField, latestReport).map(
                ([labels, acceptsTasks, other, report]) => ({
                    service: "drives",
                    labels,
                    capacity: exampleCapacity,
                    free: { ...exampleCapacity, ...other },
                    awaited: exampleCapacity,
                    acceptsTasks,
                    isOnTrial: false,
                    ...report,
                    ...other,
                }),
            ),
        ),
        ended: fastCheck.array(
            fastCheck.tuple(runIdentity, otherField).map(([run, other]) => ({
                ...run,
                end: "succeeded" as const,
                ranMilliseconds: 80.25,
                ...other,
            })),
        ),
        includedForMilliseconds: fastCheck.constantFrom(0, 12),
        crashes: fastCheck.array(crash, { maxLength: 2 }),
        openRuns: fastCheck.oneof(fastCheck.constant(undefined), fastCheck.array(runIdentity, { maxLength: 2 })),
    }, plain),
    otherField,
).map(([fields, other]) => ({ ...createAgentFrame(fields), ...other }));

Then("any sequence of entry frames is received as it was sent", () => {
    assertTransferred(entryFrame, () => new EntryFrameFormat(), isEntryFrame);
});

Then("any sequence of agent frames is received as it was sent", () => {
    assertTransferred(agentFrame, () => new AgentFrameFormat(), isAgentFrame);
});

/** Measures the second of two equal frames, since the first of a connection carries the fields that do not change. */
function measureBytes<Frame>(format: FrameFormat<Frame>, frame: Frame): number {
    format.toWire(frame);
    return createBinaryFrame(packFrame(format.toWire(frame))).length;
}

Then(/^a heartbeat of an (entry|agent) takes at most (\d+) bytes$/, (kind: string, maximum: string) => {
    const bytes = kind === "entry"
        ? measureBytes(new EntryFrameFormat(), createEntryFrame())
        : measureBytes(new AgentFrameFormat(), createAgentFrame());
    assert.ok(bytes <= Number(maximum), `${bytes} bytes`);
});

Then(
    "{int} starts of a job with a specification of {int} bytes take at most {int} bytes",
    (count: number, specificationBytes: number, maximum: number) => {
        const starts = Array.from({ length: count }, (_, task) => {
            return { ...createOrder("1836a599ef3bf945"), task, specification: "x".repeat(specificationBytes) };
        });
        const bytes = measureBytes(new EntryFrameFormat(), createEntryFrame({ starts }));
        assert.ok(bytes <= maximum, `${bytes} bytes`);
    },
);

let sockets: readonly [MemorySocket, MemorySocket] = [new MemorySocket(), new MemorySocket()];
let sendToAgent: (frame: EntryFrame) => void = () => undefined;
let sendToEntry: (frame: AgentFrame) => void = () => undefined;
let received: unknown[] = [];
let ends: StreamEnd[] = [];

function createEntryStream(socket: Duplex): FrameStream<AgentFrame, EntryFrame> {
    const protocol = { incoming: new AgentFrameFormat(), outgoing: new EntryFrameFormat(), isFrame: isAgentFrame };
    return new FrameStream(socket as unknown as Socket, protocol, {
        onFrame: frame => received.push(frame),
        onEnd: end => ends.push(end),
    });
}

/** Sends and receives as earlier versions do: JSON lines, with an offer of the formats that they know, if any. */
function createEarlierStream(
    socket: MemorySocket,
    isFrame: (value: unknown) => boolean,
    offer: object,
): (frame: object) => void {
    socket.setEncoding("utf8");
    socket.on("data", (lines: string) => {
        for (const line of lines.trimEnd().split("\n")) {
            const frame: unknown = JSON.parse(line);
            assert.ok(isFrame(frame));
            received.push(frame);
        }
    });
    return frame => socket.write(JSON.stringify({ ...frame, ...offer }) + "\n");
}

Given(
    /^an entry stream and an agent stream(?:, of which the (entry|agent) stream knows JSON (only|and binary format 1))?$/,
    (earlier: string | null, formats: string | null) => {
        const offer = formats === "only" ? {} : { frameFormats: [1] };
        const [entrySocket, agentSocket] = [new MemorySocket(), new MemorySocket()];
        entrySocket.peer = agentSocket;
        agentSocket.peer = entrySocket;
        sockets = [entrySocket, agentSocket];
        received = [];
        ends = [];
        if (earlier === "entry") {
            sendToAgent = createEarlierStream(entrySocket, isAgentFrame, offer);
        }
        else {
            const stream = createEntryStream(entrySocket);
            sendToAgent = frame => stream.send(frame);
        }
        if (earlier === "agent") {
            sendToEntry = createEarlierStream(agentSocket, isEntryFrame, offer);
        }
        else {
            const protocol = {
                incoming: new EntryFrameFormat(),
                outgoing: new AgentFrameFormat(),
                isFrame: isEntryFrame,
            };
            const stream = new FrameStream<EntryFrame, AgentFrame>(agentSocket as unknown as Socket, protocol, {
                onFrame: frame => received.push(frame),
                onEnd: end => ends.push(end),
            });
            sendToEntry = frame => stream.send(frame);
        }
    },
);

When("they exchange {int} frames each way", async (count: number) => {
    for (let index = 0; index < count; index += 1) {
        sendToEntry(createAgentFrame());
        await new Promise(setImmediate);
        sendToAgent(createEntryFrame({ starts: [createOrder("a1")] }));
        await new Promise(setImmediate);
    }
});

Then("all frames have arrived, and {int} binary frames were sent", (count: number) => {
    assert.equal(received.length, 6);
    assert.equal(sockets[0].binaryFrames + sockets[1].binaryFrames, count);
    assert.deepEqual(ends, []);
});

/** Passes bytes to an entry's stream in two parts. */
function receiveBytes(bytes: Uint8Array): void {
    const socket = new MemorySocket();
    createEntryStream(socket);
    const middle = Math.floor(bytes.length / 2);
    socket.emit("data", Buffer.from(bytes.subarray(0, middle)));
    socket.emit("data", Buffer.from(bytes.subarray(middle)));
}

Then("no sequence of received bytes throws an error, whether or not it begins like a frame", () => {
    received = [];
    ends = [];
    const format = new AgentFrameFormat();
    const valid = createBinaryFrame(packFrame(format.toWire(createAgentFrame())));
    const changed = fastCheck.tuple(fastCheck.nat(valid.length - 1), fastCheck.nat(255)).map(([index, byte]) => {
        const bytes = Buffer.from(valid);
        bytes[index] = byte;
        return bytes;
    });
    const packed = fastCheck.anything().map(value => createBinaryFrame(packFrame(value)));
    const line = fastCheck.jsonValue().map(value => Buffer.from(`{${JSON.stringify(value)}\n`));
    const bytes = fastCheck.oneof(fastCheck.uint8Array(), changed, packed, line);
    fastCheck.assert(fastCheck.property(bytes, receiveBytes), { numRuns: 2000, seed: 1 });
    assert.ok(received.length > 0 && ends.length > 0);
});

let connections = 0;

When("an entry closes each connection of an agent at once for {int} s", (seconds: number) => {
    const agent = new AgentDriver(false);
    agent.accept({ kind: "entries-found", entries: [{ address: entryAddress, availabilityZone: "zone-1" }] });
    connections = 0;
    for (let elapsed = 0; elapsed < seconds * 1000; elapsed += 5) {
        const attempts = agent.outputs.filter(output => output.kind === "connect").length;
        for (; connections < attempts; connections += 1) {
            agent.accept({ kind: "connected", address: entryAddress });
            agent.accept({ kind: "disconnected", address: entryAddress, wasRefused: false });
        }
        agent.advance(5);
    }
});

Then("the agent has connected at most {int} times", (maximum: number) => {
    assert.ok(connections > 1 && connections <= maximum, `${connections} times`);
});

When("{int} connections begin with a frame of format {int}", (count: number, format: number) => {
    received = [];
    ends = [];
    for (let index = 0; index < count; index += 1) {
        receiveBytes(Uint8Array.of(format, 0, 0, 1, 0xc0));
    }
});

Then("each was closed because its frame was unreadable, and one line was logged", () => {
    assert.deepEqual([ends.length, received.length], [3, 0]);
    assert.ok(ends.every(end => end.isUnreadable));
    const lines: string[] = [];
    const counted: string[] = [];
    const frames = new UnreadableFrames(
        { write: (_level: string, event: string) => lines.push(event) } as unknown as RateLimitedLog,
        { countEvent: (event: string) => counted.push(event) } as unknown as DirectMetrics,
    );
    ends.forEach(end => frames.record(end));
    // A written line is counted by the log.
    assert.deepEqual([lines.length, counted.length], [1, 2]);
});
